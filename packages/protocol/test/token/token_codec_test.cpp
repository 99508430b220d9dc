#include <limits>

#include <doctest/doctest.h>

#include <camphortide/protocol/token_codec.hpp>
#include <camphortide/token/v1/token.pb.h>

namespace state = camphortide::state;
namespace v1 = camphortide::token::v1;
using namespace camphortide::protocol;

namespace
{

state::session_token sample()
{
    return state::session_token(
        {{"loans-1", {state::term(9), 120}}, {"loans-2", {state::term(4), 7}}},
        false);
}

token_error error_of(decoded_token const& token)
{
    REQUIRE(std::holds_alternative<token_error>(token));
    return std::get<token_error>(token);
}

std::string with_version(std::string const& bytes, unsigned version)
{
    v1::SignedToken message;
    REQUIRE(message.ParseFromString(bytes));
    message.set_version(version);
    return message.SerializeAsString();
}

} // namespace

TEST_CASE("a token is unchanged after encoding and decoding")
{
    token_codec const codec({"key"});
    CHECK(std::get<state::session_token>(
              codec.decode(codec.encode(sample()))) == sample());
    CHECK(codec.encode(state::session_token()).empty());
    CHECK(std::get<state::session_token>(codec.decode("")) ==
          state::session_token());
}

TEST_CASE("a token signed with a previous key is accepted")
{
    token_codec const before({"old"});
    token_codec const after({"new", "old"});
    CHECK(std::get<state::session_token>(
              after.decode(before.encode(sample()))) == sample());
    CHECK(error_of(before.decode(after.encode(sample()))) ==
          token_error::forged);
}

TEST_CASE("each kind of invalid token is reported with its error")
{
    token_codec const codec({"key"});
    auto const valid_bytes = codec.encode(sample());
    CHECK(error_of(codec.decode(std::string(token_codec::max_bytes + 1,
                                            'x'))) == token_error::too_large);
    CHECK(error_of(codec.decode("\xff\xff\xff")) == token_error::damaged);
    CHECK(error_of(codec.decode(with_version(valid_bytes, 2))) ==
          token_error::wrong_version);
    CHECK(error_of(codec.decode(token_codec({"other"}).encode(sample()))) ==
          token_error::forged);
}

TEST_CASE("flipping one bit never yields a different token")
{
    token_codec const codec({"key"});
    auto const valid_bytes = codec.encode(sample());
    for (std::size_t bit = 0; bit < valid_bytes.size() * 8; ++bit)
    {
        auto bytes = valid_bytes;
        bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << bit % 8));
        auto const result = codec.decode(bytes);
        auto const* const token = std::get_if<state::session_token>(&result);
        CHECK((token == nullptr || *token == sample()));
    }
}

TEST_CASE("a truncated token is rejected unless it is empty")
{
    token_codec const codec({"key"});
    auto const valid_bytes = codec.encode(sample());
    for (std::size_t size = 1; size < valid_bytes.size(); ++size)
    {
        CHECK(std::holds_alternative<token_error>(
            codec.decode(std::string_view(valid_bytes).substr(0, size))));
    }
}

TEST_CASE("the largest token fits into the maximum size")
{
    constexpr auto max_value = std::numeric_limits<std::uint64_t>::max();
    state::session_token token;
    for (std::size_t i = 0; i < state::session_token::max_groups; ++i)
    {
        std::string name(state::session_token::max_group_name_bytes, 'n');
        name[0] = static_cast<char>('0' + i);
        token = token.advanced(name, {state::term(max_value), max_value});
    }
    token_codec const codec({"key"});
    auto const bytes = codec.encode(token);
    CHECK(bytes.size() <= token_codec::max_bytes);
    CHECK(std::get<state::session_token>(codec.decode(bytes)) == token);
}
