#include <memory>

#include <doctest/doctest.h>

#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/hexadecimal.hpp>
#include <camphortide/protocol/peer_conversion.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>
#include <camphortide/protocol/stop_conversion.hpp>

namespace coordination = camphortide::coordination;
namespace protocol = camphortide::protocol;
namespace state = camphortide::state;

namespace
{

state::catalogue_entry entry()
{
    state::catalogue_entry value;
    value.m_name = "loans.desk";
    value.m_customer = "caxias";
    value.m_class_name = "desk";
    value.m_group = "loans";
    value.m_credential_hash = std::string(62, 'a') + "0f";
    value.m_limits = {1, 2,    3, 4, state::duration(5), state::duration(0),
                      6, true, 7, 8, state::duration(9)};
    value.m_stamp = {"c1", "ana", 3};
    return value;
}

state::group_description group()
{
    state::group_description value;
    value.m_name = "loans";
    value.m_members = {{"one", "10.0.0.1:7000", "leon", true},
                       {"two", "10.0.0.2:7000", "celaya", false}};
    value.m_connection_limit = 16;
    value.m_slots = 2;
    value.m_stamp = {"c1", "ana", 3};
    return value;
}

coordination::catalogue_parts parts()
{
    coordination::catalogue_parts value;
    value.m_head.m_version = 3;
    value.m_head.m_chunks = {{"5-c1", std::string(32, 'd'), 5, 3}};
    value.m_head.m_history = {{{"c1", "ana", 3}, {"loans", "loans.desk"}}};
    value.m_head.m_barred = {"c0"};
    value.m_chunks["5-c1"] =
        std::make_shared<std::string const>(std::string("\0bytes", 6));
    return value;
}

} // namespace

TEST_CASE("a chunk round-trips through its encoding and has a SHA-256 digest")
{
    protocol::protobuf_catalogue_codec const codec;
    auto absent = entry();
    absent.m_limits.m_age.reset();
    coordination::chunk_content const content{{entry(), absent}, {group()}};
    auto const bytes = codec.encode(content);
    CHECK(codec.decode(bytes) == content);
    CHECK_FALSE(codec.decode("\x08").has_value());
    CHECK(protocol::to_hexadecimal(codec.digest("abc")) ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a changed field number: stored catalogues of earlier versions
// name the customer, then called owner, in field 2.
TEST_CASE("a stored chunk of an earlier version gives the entry's customer")
{
    protocol::protobuf_catalogue_codec const codec;
    auto expected = entry();
    expected.m_customer = "dealers";
    std::string const field = "\x12\x07"
                              "dealers";
    auto const bytes = codec.encode({{expected}, {}});
    CHECK(bytes.find(field) != std::string::npos);
    auto const decoded = codec.decode(bytes);
    REQUIRE(decoded.has_value());
    REQUIRE(decoded->m_entries.size() == 1);
    CHECK(decoded->m_entries[0].m_customer == "dealers");
}

TEST_CASE("the head's object is unchanged after encoding and decoding")
{
    auto const value = parts();
    auto const decoded =
        protocol::decode_head_object(protocol::encode_head_object(value));
    REQUIRE(decoded.has_value());
    CHECK(decoded->m_head == value.m_head);
    REQUIRE(decoded->m_chunks.size() == 1);
    CHECK(*decoded->m_chunks.at("5-c1") == *value.m_chunks.at("5-c1"));
    coordination::catalogue_parts barred;
    barred.m_head.m_barred = {"c0"}; // before any change was accepted
    auto const first =
        protocol::decode_head_object(protocol::encode_head_object(barred));
    REQUIRE(first.has_value());
    CHECK(first->m_head == barred.m_head);
    CHECK_FALSE(protocol::decode_head_object("").has_value());
    CHECK_FALSE(protocol::decode_head_object("rubbish").has_value());
}

TEST_CASE("a heartbeat is unchanged after conversion to an envelope and back")
{
    coordination::heartbeat value;
    value.m_kind = coordination::heartbeat_kind::welcome;
    value.m_sender = {"one", "leon", "10.0.0.1:7000", 77,
                      state::instance_state::leaving};
    value.m_sequence = 5;
    value.m_checksum = 0xffffffffffffffffU;
    value.m_held = {4, 6, state::duration(8)};
    value.m_records = {
        {"two", "celaya", "10.0.0.2:7000", 8, state::instance_state::live},
        {"three", "", "", 9, state::instance_state::gone}};
    auto const envelope = protocol::to_envelope(value);
    CHECK(protocol::heartbeat_from(envelope) == value);
}

TEST_CASE("an invalid heartbeat is rejected")
{
    coordination::heartbeat value;
    value.m_sender.m_name = "one";
    auto const valid = protocol::to_envelope(value);
    CHECK(protocol::heartbeat_from(valid).has_value());
    auto nameless = valid;
    nameless.clear_sender();
    CHECK_FALSE(protocol::heartbeat_from(nameless).has_value());
    auto kindless = valid;
    kindless.mutable_heartbeat()->clear_kind();
    CHECK_FALSE(protocol::heartbeat_from(kindless).has_value());
    auto stateless = valid;
    stateless.mutable_heartbeat()->clear_state();
    CHECK_FALSE(protocol::heartbeat_from(stateless).has_value());
    auto unrelated_message = valid;
    unrelated_message.mutable_catalogue_offer();
    CHECK_FALSE(protocol::heartbeat_from(unrelated_message).has_value());
}

TEST_CASE(
    "catalogue offers and requests are unchanged after conversion and back")
{
    coordination::catalogue_offer const offer{3, true, state::duration(9)};
    CHECK(protocol::from_proto(protocol::to_proto(offer)) == offer);
    coordination::catalogue_request const request{2, {"a", "b"}};
    CHECK(protocol::from_proto(protocol::to_proto(request)) == request);
}

TEST_CASE("a list of stops is unchanged after conversion to a message and back")
{
    state::planned_stop stop;
    stop.m_id = "s";
    stop.m_kind = state::stop_kind::endpoint;
    stop.m_target = "10.0.0.1";
    stop.m_group = "loans";
    stop.m_operator = "ana";
    stop.m_state = state::stop_state::cancelled;
    stop.m_drained = {"loans", "members"};
    stop.m_created = 3;
    stop.m_object_version = 9;
    state::stop_list const list{12, {stop}};
    CHECK(protocol::from_proto(protocol::to_proto(list)) == list);
    CHECK(protocol::decode_stop_object(protocol::encode_stop_object(stop), 9) ==
          stop);
    CHECK_FALSE(protocol::decode_stop_object("", 9).has_value());
}

TEST_CASE("the version at which a stop was created is that of its first object")
{
    state::planned_stop const created;
    auto const decoded =
        protocol::decode_stop_object(protocol::encode_stop_object(created), 17);
    REQUIRE(decoded.has_value());
    CHECK(decoded->m_created == 17);
    CHECK(decoded->m_object_version == 17);
}

TEST_CASE("invalid hexadecimal digits are rejected")
{
    CHECK(protocol::from_hexadecimal("0aFf") == std::string("\x0a\xff"));
    CHECK_FALSE(protocol::from_hexadecimal("0a0").has_value());
    CHECK_FALSE(protocol::from_hexadecimal("0g").has_value());
}
