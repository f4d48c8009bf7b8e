"""Tests of prefix_cache.py: which parts of a prompt an endpoint has probably cached."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from springbridge.routing.prefix_cache import PrefixCache
from springbridge.routing.records import PromptPart


def test_the_least_recently_used_parts_give_way():
    cache = PrefixCache(100)
    first, second = (PromptPart("a", 60),), (PromptPart("b", 30),)
    cache.add(first)
    cache.add(second)
    assert_that(cache.cached_tokens(first), Equals(60))
    cache.add(first)
    cache.add((PromptPart("c", 20),))
    assert_that((cache.cached_tokens(first), cache.cached_tokens(second)), Equals((60, 0)))


def test_a_part_counts_only_behind_the_parts_before_it():
    cache = PrefixCache(1000)
    cache.add((PromptPart("a", 10), PromptPart("b", 20)))
    assert_that(cache.cached_tokens((PromptPart("b", 20),)), Equals(0))
    assert_that(cache.cached_tokens((PromptPart("a", 10), PromptPart("c", 20))), Equals(10))


def test_nothing_is_kept_without_a_capacity():
    cache = PrefixCache(0)
    cache.add((PromptPart("a", 10),))
    assert_that(cache.cached_tokens((PromptPart("a", 10),)), Equals(0))
