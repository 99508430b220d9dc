#include <doctest/doctest.h>

#include <camphortide/proxy/peer_messages.hpp>
#include <camphortide/proxy/peer_updates.hpp>

namespace platform = camphortide::platform;
namespace proxy = camphortide::proxy;
using proxy::object_cache;
using object = camphortide::platform::store_object;

namespace
{

object const first{"a", 5, "{1}", false};
object const second{"b", 6, "{2}", false};

object_cache two_objects()
{
    object_cache cache(77);
    cache.update({first, second}, true, 10);
    return cache;
}

} // namespace

TEST_CASE("a request without a cursor returns a snapshot")
{
    auto const page = two_objects().changes_since({});
    CHECK(page.m_snapshot);
    CHECK(page.m_revision == 10);
    CHECK(page.m_objects == std::vector{first, second});
}

TEST_CASE("a request with a cursor returns the changes after it")
{
    auto cache = two_objects();
    auto const cursor = cache.cursor();
    CHECK(cache.changes_since(cursor).m_objects.empty());
    object const changed{"b", 11, "{3}", false};
    cache.update({changed}, false, 11);
    auto const page = cache.changes_since(cursor);
    CHECK_FALSE(page.m_snapshot);
    CHECK(page.m_objects == std::vector{changed});
    CHECK(cache.changes_since(page.m_cursor).m_objects.empty());
}

TEST_CASE("a deletion is returned, whether the watch reported or missed it")
{
    auto cache = two_objects();
    auto const cursor = cache.cursor();
    SUBCASE("seen")
    {
        cache.update({{"a", 12, "{1}", true}}, false, 12);
    }
    SUBCASE("missed")
    {
        cache.update({second}, true, 12);
    }
    auto const page = cache.changes_since(cursor);
    REQUIRE(page.m_objects.size() == 1);
    CHECK(page.m_objects[0].m_name == "a");
    CHECK(page.m_objects[0].m_deleted);
    CHECK(cache.changes_since({}).m_objects == std::vector{second});
}

TEST_CASE("a change that the watch missed is found by the next listing")
{
    auto cache = two_objects();
    auto const cursor = cache.cursor();
    object const changed{"a", 9, "{9}", false};
    cache.update({changed, second}, true, 10);
    CHECK(cache.changes_since(cursor).m_objects == std::vector{changed});
}

TEST_CASE("a cursor of another process or of a later change returns a snapshot")
{
    auto const cache = two_objects();
    CHECK(cache.changes_since({76, 2}).m_snapshot);
    CHECK(cache.changes_since({77, 3}).m_snapshot);
}

TEST_CASE("a reader of another process gets the changes after its revision")
{
    auto source = two_objects();
    object_cache reader(78);
    reader.update({first, second}, true, 10);
    object const changed{"b", 11, "{3}", false};
    source.update({changed, {"a", 12, "{1}", true}}, false, 12);
    auto const page = source.changes_since(reader.cursor(), 10);
    CHECK_FALSE(page.m_snapshot);
    CHECK(page.m_objects.size() == 2);
    CHECK(reader.digest_after(page) == page.m_digest);
    reader.update(page.m_objects, false, page.m_revision);
    CHECK(reader.changes_since({}).m_objects == std::vector{changed});
    CHECK(source.changes_since(reader.cursor(), 12).m_objects.empty());
}

TEST_CASE("the digest tells a reader that it missed a change")
{
    auto source = two_objects();
    object_cache reader(78);
    SUBCASE("a changed object")
    {
        reader.update({first, {"b", 4, "{0}", false}}, true, 10);
    }
    SUBCASE("a missing object")
    {
        reader.update({first}, true, 10);
    }
    SUBCASE("a deleted object")
    {
        reader.update({first, second, {"c", 7, "{}", false}}, true, 10);
    }
    auto const page = source.changes_since(reader.cursor(), 10);
    CHECK(page.m_objects.empty());
    CHECK(reader.digest_after(page) != page.m_digest);
}

TEST_CASE("an older version does not replace a newer one")
{
    auto cache = two_objects();
    cache.update({{"a", 4, "{0}", false}}, false, 10);
    REQUIRE(cache.find("a") != nullptr);
    CHECK(*cache.find("a") == first);
    CHECK(cache.find("c") == nullptr);
}

TEST_CASE("once deletions have been dropped, older cursors return a snapshot")
{
    auto cache = two_objects();
    auto const cursor = cache.cursor();
    for (int number = 0; number < 300; ++number)
    {
        object gone{"x", 20, "{}", false};
        gone.m_name += std::to_string(number);
        cache.update({gone}, false, 20);
        gone.m_deleted = true;
        cache.update({gone}, false, 21);
    }
    auto const page = cache.changes_since(cursor);
    CHECK(page.m_snapshot);
    CHECK(page.m_objects == std::vector{first, second});
    CHECK(cache.changes_since(cursor, 20).m_snapshot);
    CHECK_FALSE(cache.changes_since(cache.cursor()).m_snapshot);
}

TEST_CASE("update messages are decoded as they were encoded")
{
    proxy::update_request const request{platform::object_kind::fleet,
                                        {7, 9},
                                        camphortide::state::duration(50),
                                        21,
                                        true};
    CHECK(proxy::decode_update_request(proxy::encode(request).m_target) ==
          request);
    proxy::update_response response;
    response.m_page = two_objects().changes_since({});
    response.m_page.m_references = {{"c", 8}};
    SUBCASE("without eras") {}
    SUBCASE("of an era of the store")
    {
        response.m_page.m_revision = {10, 3};
        response.m_page.m_references = {{"c", {8, 3}}};
        response.m_page.m_objects = {{"a", {5, 3}, "{1}", false}};
    }
    response.m_verified_age = camphortide::state::duration(15);
    response.m_response_age = camphortide::state::duration(3);
    CHECK(proxy::decode_update_response(proxy::encode(response).m_body) ==
          response);
}

TEST_CASE("a request of an earlier release accepts no references")
{
    auto const request = proxy::decode_update_request(
        "/news?kind=1&process=2&change=3&wait_ms=4");
    REQUIRE(request);
    CHECK_FALSE(request->m_accepts_references);
    CHECK_FALSE(request->m_names_era);
    CHECK(request->m_known_revision == 0);
}

TEST_CASE("invalid update messages are rejected")
{
    for (auto const* const target :
         {"/news", "/news?kind=3&process=1&change=1&wait_ms=1",
          "/news?kind=1&process=x&change=1&wait_ms=1",
          "/news?kind=1&process=1&change=1&wait_ms=99999999",
          "/news?kind=1&process=1&change=1",
          "/news?kind=1&process=1&change=99999999999999999999999&wait_ms=1"})
    {
        CHECK_FALSE(proxy::decode_update_request(target));
    }
    CHECK_FALSE(proxy::decode_update_response(""));
    CHECK_FALSE(proxy::decode_update_response("not a message"));
}

TEST_CASE("a reader of an earlier era gets a snapshot")
{
    auto cache = two_objects();
    auto const cursor = cache.cursor();
    cache.update({{"a", {4, 1}, "{0}", false}}, true, {6, 1});
    REQUIRE(cache.find("a") != nullptr);
    CHECK(cache.find("a")->m_content == "{0}");
    CHECK(cache.find("b") == nullptr);
    CHECK(cache.changes_since(cursor, 10).m_snapshot);
    CHECK(cache.changes_since({1, 1}, 10).m_snapshot);
    CHECK_FALSE(cache.changes_since(cache.cursor(), {6, 1}).m_snapshot);
    CHECK_FALSE(cache.changes_since({1, 1}, {6, 1}).m_snapshot);
    // The number that it had before may be given out again.
    cache.update({{"b", {6, 1}, "{4}", false}}, false, {7, 1});
    REQUIRE(cache.find("b") != nullptr);
    CHECK(cache.find("b")->m_content == "{4}");
}

TEST_CASE("deeply nested messages of a peer are invalid")
{
    constexpr std::size_t depth = 400000;
    auto const nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(proxy::decode_close_request(nested));
    CHECK_FALSE(proxy::decode_close_response(R"({"instance":)" + nested + '}'));
    CHECK_FALSE(
        proxy::decode_unreachable_report(R"({"group":)" + nested + '}'));
}

TEST_CASE("messages about closings keep the era of the store")
{
    proxy::close_request const request{"g", {7, 2}, true};
    CHECK(proxy::decode_close_request(proxy::encode(request).m_body) ==
          request);
    proxy::close_response const response{"a", 5, {7, 2}};
    CHECK(proxy::decode_close_response(proxy::encode(response).m_body) ==
          response);
    auto const earlier = proxy::decode_close_response(
        R"({"instance":"a","born":5,"revision":7})");
    REQUIRE(earlier);
    CHECK(earlier->m_revision == 7);
}
