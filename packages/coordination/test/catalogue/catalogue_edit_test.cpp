#include "edit_run.hpp"
#include "sample_catalogue.hpp"

#include <doctest/doctest.h>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::edit_outcome;
using coordination::write_reply;
using purpose = coordination::catalogue_edit::purpose;

namespace
{

struct edit_fixture
{
    codec_stub m_codec;
    store_stub m_store;

    coordination::edit_result apply(coordination::catalogue_change change)
    {
        return edit_run(m_store, m_codec, std::move(change)).run();
    }

    std::uint32_t rate(std::string const& group)
    {
        auto const parts = *m_store.head();
        coordination::chunk_map chunks;
        for (auto const& reference : parts.m_head.m_chunks)
        {
            chunks[reference.m_name] = m_store.chunk(reference.m_name);
            REQUIRE(chunks[reference.m_name] != nullptr);
        }
        auto const value =
            coordination::assemble(parts.m_head, chunks, m_codec);
        REQUIRE(value.has_value());
        return value->find_entry(group + ".listing")->m_limits.m_rate;
    }
};

} // namespace

TEST_CASE_FIXTURE(edit_fixture, "successive changes are accepted")
{
    CHECK(apply(sample_addition("c1", "members")).m_version == 1);
    auto const result =
        apply(sample_rate_change("c2", "ana", "members", 100, 7));
    CHECK(result.m_outcome == edit_outcome::accepted);
    CHECK(result.m_version == 2);
    CHECK(rate("members") == 7);
    CHECK(m_store.head()->m_head.m_history.size() == 2);
    CHECK(m_store.chunks() == m_store.head()->m_head.m_chunks.size());
}

TEST_CASE_FIXTURE(edit_fixture, "an invalid change is refused as a whole")
{
    apply(sample_addition("c1", "members"));
    auto change = sample_addition("c2", "loans");
    change.m_entries[0].m_after->m_limits.m_rate = 0;
    auto const before = m_store.head_version();
    auto const result = apply(change);
    CHECK(result.m_outcome == edit_outcome::invalid);
    CHECK(result.m_problems ==
          std::vector<state::catalogue_problem>{
              {state::problem_kind::zero_rate, "loans.listing"}});
    CHECK(m_store.head_version() == before);
}

TEST_CASE_FIXTURE(edit_fixture,
                  "of two concurrent edits of an entry one is accepted, and "
                  "the other reports the winner and the fields")
{
    apply(sample_addition("c1", "members"));
    edit_run first(m_store, m_codec,
                   sample_rate_change("c2", "ana", "members", 100, 7));
    edit_run second(m_store, m_codec,
                    sample_rate_change("c3", "luz", "members", 100, 9));
    first.run_to_write();
    second.run_to_write();
    CHECK(second.run().m_outcome == edit_outcome::accepted);
    auto const& result = first.run();
    CHECK(result.m_outcome == edit_outcome::conflict);
    REQUIRE(result.m_conflicts.size() == 1);
    CHECK(result.m_conflicts[0] ==
          coordination::catalogue_conflict{"members.listing",
                                           {"c3", "luz", 2},
                                           {state::catalogue_field::rate}});
    CHECK(rate("members") == 9);
    CHECK(m_store.chunks() == m_store.head()->m_head.m_chunks.size());
}

TEST_CASE_FIXTURE(edit_fixture, "edits of different entries both succeed")
{
    apply(sample_addition("c1", "members"));
    apply(sample_addition("c2", "loans"));
    edit_run first(m_store, m_codec,
                   sample_rate_change("c3", "ana", "members", 100, 7));
    edit_run second(m_store, m_codec,
                    sample_rate_change("c4", "luz", "loans", 100, 9));
    first.run_to_write();
    second.run_to_write();
    CHECK(second.run().m_version == 3);
    CHECK(first.run().m_version == 4);
    CHECK(rate("members") == 7);
    CHECK(rate("loans") == 9);
}

TEST_CASE_FIXTURE(edit_fixture,
                  "a conflict with a removal names the operator who removed "
                  "the entry")
{
    apply(sample_addition("c1", "members"));
    auto removal = sample_rate_change("c2", "luz", "members", 100, 9);
    removal.m_entries[0].m_after.reset();
    apply(removal);
    auto const result =
        apply(sample_rate_change("c3", "ana", "members", 100, 7));
    REQUIRE(result.m_conflicts.size() == 1);
    CHECK(result.m_conflicts[0].m_winner ==
          state::change_stamp{"c2", "luz", 2});
    CHECK(result.m_conflicts[0].m_fields ==
          std::vector{state::catalogue_field::existence});
}

TEST_CASE_FIXTURE(edit_fixture,
                  "a write whose reply was lost is found to be accepted, even "
                  "after further changes")
{
    apply(sample_addition("c1", "members"));
    apply(sample_addition("c2", "loans"));
    edit_run edit(m_store, m_codec,
                  sample_rate_change("c3", "ana", "members", 100, 7));
    int lost = 0;
    edit.m_on_write = [&lost](write_reply reply)
    {
        return lost++ == 0 ? write_reply::lost : reply;
    };
    edit.run_to_write();
    edit.step();
    CHECK(edit.pending());
    apply(sample_rate_change("c4", "luz", "members", 7, 8));
    apply(sample_rate_change("c5", "luz", "loans", 100, 9));
    auto const& result = edit.run();
    CHECK(result.m_outcome == edit_outcome::accepted);
    CHECK(result.m_version == 3);
    CHECK(rate("members") == 8);
    CHECK(m_store.chunks() == m_store.head()->m_head.m_chunks.size());
}

TEST_CASE_FIXTURE(edit_fixture,
                  "a write that did not reach the store is repeated")
{
    apply(sample_addition("c1", "members"));
    edit_run edit(m_store, m_codec,
                  sample_rate_change("c2", "ana", "members", 100, 7));
    int sent = 0;
    edit.m_write_arrives = [&sent]
    {
        return sent++ > 0;
    };
    CHECK(edit.run().m_version == 2);
    CHECK(sent == 2);
    CHECK(m_store.head()->m_head.m_history.size() == 2);
}

TEST_CASE_FIXTURE(edit_fixture,
                  "a delayed write takes effect at most once, and not after a "
                  "newer write")
{
    apply(sample_addition("c1", "members"));
    edit_run edit(m_store, m_codec,
                  sample_rate_change("c2", "ana", "members", 100, 7));
    edit.run_to_write();
    auto const delayed = edit.waiting_write();
    edit.m_write_arrives = []
    {
        return false;
    };
    edit.step();
    SUBCASE("before the repeat")
    {
        CHECK(m_store.write(delayed) == write_reply::done);
        edit.m_write_arrives = []
        {
            return true;
        };
        CHECK(edit.run().m_version == 2);
        CHECK(m_store.head()->m_head.m_history.size() == 2);
    }
    SUBCASE("after another operator's change")
    {
        apply(sample_rate_change("c3", "luz", "members", 100, 9));
        edit.m_write_arrives = []
        {
            return true;
        };
        CHECK(edit.run().m_outcome == edit_outcome::conflict);
        CHECK(m_store.write(delayed) == write_reply::conflict);
        CHECK(rate("members") == 9);
    }
}

TEST_CASE_FIXTURE(edit_fixture,
                  "an unresponsive store gives unavailable if nothing was "
                  "written, and otherwise an outcome that can be resolved")
{
    apply(sample_addition("c1", "members"));
    auto const change = sample_rate_change("c2", "ana", "members", 100, 7);
    SUBCASE("nothing was written")
    {
        edit_run edit(m_store, m_codec, change);
        edit.m_read_works = []
        {
            return false;
        };
        CHECK(edit.run().m_outcome == edit_outcome::unavailable);
    }
    SUBCASE("the write took effect")
    {
        edit_run edit(m_store, m_codec, change);
        edit.run_to_write();
        edit.m_on_write = [](write_reply)
        {
            return write_reply::lost;
        };
        edit.m_read_works = []
        {
            return false;
        };
        CHECK(edit.run().m_outcome == edit_outcome::undetermined);
        edit_run resolution(m_store, m_codec, {"c2", "ana", {}, {}},
                            purpose::resolve);
        CHECK(resolution.run().m_outcome == edit_outcome::accepted);
        CHECK(resolution.run().m_version == 2);
    }
    SUBCASE("the write is still in flight")
    {
        edit_run edit(m_store, m_codec, change);
        edit.run_to_write();
        auto const delayed = edit.waiting_write();
        edit.m_write_arrives = []
        {
            return false;
        };
        edit.m_read_works = []
        {
            return false;
        };
        CHECK(edit.run().m_outcome == edit_outcome::undetermined);
        edit_run resolution(m_store, m_codec, {"c2", "ana", {}, {}},
                            purpose::resolve);
        CHECK(resolution.run().m_outcome == edit_outcome::barred);
        CHECK(m_store.write(delayed) == write_reply::conflict);
        CHECK(apply(change).m_outcome == edit_outcome::barred);
        CHECK(rate("members") == 100);
        CHECK(m_store.head()->m_head.m_version == 1);
    }
}

TEST_CASE_FIXTURE(edit_fixture, "repeating an accepted change has no effect")
{
    apply(sample_addition("c1", "members"));
    auto const before = m_store.head_version();
    auto const result = apply(sample_addition("c1", "members"));
    CHECK(result.m_outcome == edit_outcome::accepted);
    CHECK(result.m_version == 1);
    CHECK(m_store.head_version() == before);
}

TEST_CASE_FIXTURE(edit_fixture, "the history in the head is bounded")
{
    apply(sample_addition("c0", "members"));
    std::uint32_t rate = 100;
    for (int count = 1; count < 200; ++count)
    {
        auto const result = apply(sample_rate_change(
            std::to_string(count), "ana", "members", rate, rate + 1));
        REQUIRE(result.m_outcome == edit_outcome::accepted);
        ++rate;
    }
    CHECK(m_store.head()->m_head.m_history.size() == 128);
    CHECK(m_store.head()->m_head.m_version == 200);
}

TEST_CASE_FIXTURE(edit_fixture,
                  "a change can be barred before the first one is accepted")
{
    edit_run resolution(m_store, m_codec, {"c1", "ana", {}, {}},
                        purpose::resolve);
    CHECK(resolution.run().m_outcome == edit_outcome::barred);
    CHECK(apply(sample_addition("c1", "members")).m_outcome ==
          edit_outcome::barred);
    CHECK(apply(sample_addition("c2", "members")).m_version == 1);
}

TEST_CASE_FIXTURE(edit_fixture, "a damaged head is not overwritten")
{
    coordination::catalogue_edit edit(coordination::catalogue_edit_settings(),
                                      sample_addition("c1", "members"),
                                      purpose::apply, m_codec, {});
    REQUIRE(edit.tick({}).size() == 1);
    CHECK(edit.on_head(7, std::nullopt).empty());
    CHECK(edit.result().m_outcome == edit_outcome::damaged);
}
