#include <doctest/doctest.h>

#include <camphortide/proxy/peer_news.hpp>

namespace platform = camphortide::platform;
namespace proxy = camphortide::proxy;
using proxy::object_mirror;
using object = camphortide::platform::store_object;

namespace
{

object const first{"a", 5, "{1}", false};
object const second{"b", 6, "{2}", false};

object_mirror two_objects()
{
    object_mirror mirror(77);
    mirror.take({first, second}, true, 10);
    return mirror;
}

} // namespace

TEST_CASE("whoever comes anew is told all")
{
    auto const page = two_objects().since({});
    CHECK(page.m_whole);
    CHECK(page.m_revision == 10);
    CHECK(page.m_objects == std::vector{first, second});
}

TEST_CASE("who knows a part is told what changed")
{
    auto mirror = two_objects();
    auto const cursor = mirror.cursor();
    CHECK(mirror.since(cursor).m_objects.empty());
    object const changed{"b", 11, "{3}", false};
    mirror.take({changed}, false, 11);
    auto const page = mirror.since(cursor);
    CHECK_FALSE(page.m_whole);
    CHECK(page.m_objects == std::vector{changed});
    CHECK(mirror.since(page.m_cursor).m_objects.empty());
}

TEST_CASE("a removal is told, by a watch or missed by it")
{
    auto mirror = two_objects();
    auto const cursor = mirror.cursor();
    SUBCASE("seen")
    {
        mirror.take({{"a", 12, "{1}", true}}, false, 12);
    }
    SUBCASE("missed")
    {
        mirror.take({second}, true, 12);
    }
    auto const page = mirror.since(cursor);
    REQUIRE(page.m_objects.size() == 1);
    CHECK(page.m_objects[0].m_name == "a");
    CHECK(page.m_objects[0].m_deleted);
    CHECK(mirror.since({}).m_objects == std::vector{second});
}

TEST_CASE("a change that the watch missed is told by the next listing")
{
    auto mirror = two_objects();
    auto const cursor = mirror.cursor();
    object const changed{"a", 9, "{9}", false};
    mirror.take({changed, second}, true, 10);
    CHECK(mirror.since(cursor).m_objects == std::vector{changed});
}

TEST_CASE("a cursor of another process, or from ahead, is worth nothing")
{
    auto const mirror = two_objects();
    CHECK(mirror.since({76, 2}).m_whole);
    CHECK(mirror.since({77, 3}).m_whole);
}

TEST_CASE("removals are kept for a while, then all is told")
{
    auto mirror = two_objects();
    auto const cursor = mirror.cursor();
    for (int number = 0; number < 300; ++number)
    {
        object gone{"x", 20, "{}", false};
        gone.m_name += std::to_string(number);
        mirror.take({gone}, false, 20);
        gone.m_deleted = true;
        mirror.take({gone}, false, 21);
    }
    auto const page = mirror.since(cursor);
    CHECK(page.m_whole);
    CHECK(page.m_objects == std::vector{first, second});
    CHECK_FALSE(mirror.since(mirror.cursor()).m_whole);
}

TEST_CASE("messages about news keep what they hold")
{
    proxy::news_request const request{
        platform::object_kind::fleet, {7, 9}, camphortide::state::duration(50)};
    CHECK(proxy::decode_news_request(proxy::encode(request).m_target) ==
          request);
    proxy::news_response response;
    response.m_page = two_objects().since({});
    response.m_proof_age = camphortide::state::duration(15);
    response.m_heard_age = camphortide::state::duration(3);
    CHECK(proxy::decode_news_response(proxy::encode(response).m_body) ==
          response);
}

TEST_CASE("messages about news that can't be read are none")
{
    for (auto const* const target :
         {"/news", "/news?kind=3&process=1&change=1&wait_ms=1",
          "/news?kind=1&process=x&change=1&wait_ms=1",
          "/news?kind=1&process=1&change=1&wait_ms=99999999",
          "/news?kind=1&process=1&change=1",
          "/news?kind=1&process=1&change=99999999999999999999999&wait_ms=1"})
    {
        CHECK_FALSE(proxy::decode_news_request(target));
    }
    CHECK_FALSE(proxy::decode_news_response(""));
    CHECK_FALSE(proxy::decode_news_response("not a message"));
}
