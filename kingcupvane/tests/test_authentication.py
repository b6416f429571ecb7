"""Tests of client accounts' keys."""

from result import Err, Ok

from kingcupvane.request import authentication
from kingcupvane.tests.builders import KEY, configuration


def test_key_names_its_account():
    assert authentication.authenticate(KEY, configuration()) == Ok("acme")
    for wrong in ("", "k1", "k1_other", "k2_secret", KEY + "x"):
        found = authentication.authenticate(wrong, configuration())
        assert isinstance(found, Err)
        assert KEY not in str(found)


def test_new_key_is_found_by_its_hash():
    key = authentication.generate_key("k9")
    assert authentication.key_name(key) == "k9"
    assert len(authentication.hash_key(key)) == 64


def test_key_is_seen_wherever_a_target_would_see_it():
    clean = {"path": "/", "query": "", "body": b""}
    assert not authentication.leaks_key(KEY, **clean)
    for name, value in (
        ("path", f"/{KEY}"),
        ("query", f"k={KEY}"),
        ("body", f"x{KEY}x".encode()),
    ):
        assert authentication.leaks_key(KEY, **{**clean, name: value})
