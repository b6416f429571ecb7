"""Tests of client accounts' keys."""

from result import Err, Ok

from kingcupvane.request import authentication
from kingcupvane.tests.builders import KEY, configuration


def test_valid_key_gives_its_account_and_others_are_refused():
    assert authentication.authenticate(KEY, configuration()) == Ok("acme")
    for wrong in ("", "k1", "k1_other", "k2_secret", KEY + "x"):
        result = authentication.authenticate(wrong, configuration())
        assert isinstance(result, Err)
        assert KEY not in str(result)


def test_generated_key_contains_its_name_and_has_a_sha256_hash():
    key = authentication.generate_key("k9")
    assert authentication.key_name(key) == "k9"
    assert len(authentication.hash_key(key)) == 64


def test_key_in_path_query_or_body_is_detected():
    clean = {"path": "/", "query": "", "body": b""}
    assert not authentication.leaks_key(KEY, **clean)
    for name, value in (
        ("path", f"/{KEY}"),
        ("query", f"k={KEY}"),
        ("body", f"x{KEY}x".encode()),
    ):
        assert authentication.leaks_key(KEY, **{**clean, name: value})
