#pragma once

#include "codec_stub.hpp"
#include "store_stub.hpp"

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <variant>

/// Runs an edit against a store, one call at a time, so that a test can inject
/// faults and other edits between the calls.
class edit_run
{
public:
    using catalogue_edit = camphortide::coordination::catalogue_edit;
    using edit_outcome = camphortide::coordination::edit_outcome;
    using write_reply = camphortide::coordination::write_reply;

    /// Gets the reply of the store and returns the one that the edit receives.
    using fault = std::function<write_reply(write_reply)>;

    edit_run(store_stub& store, codec_stub const& codec,
             camphortide::coordination::catalogue_change change,
             catalogue_edit::purpose wanted = catalogue_edit::purpose::apply)
        : m_store(store),
          m_edit(camphortide::coordination::catalogue_edit_settings(),
                 std::move(change), wanted, codec, m_now)
    {
    }

    /// Injects faults into the reply to a write, the write itself, and reads.
    fault m_on_write = [](write_reply reply)
    {
        return reply;
    };
    std::function<bool()> m_write_arrives = []
    {
        return true;
    };
    std::function<bool()> m_read_works = []
    {
        return true;
    };

    bool pending() const
    {
        return m_edit.result().m_outcome == edit_outcome::pending;
    }

    /// Carries out one call, or advances the clock by 100 ms.
    void step()
    {
        if (m_calls.empty())
        {
            m_now += camphortide::state::duration(100);
            add(m_edit.tick(m_now));
            return;
        }
        auto const call = std::move(m_calls.front());
        m_calls.pop_front();
        std::visit([this](auto const& action) { carry_out(action); }, call);
    }

    /// @return true if the next call writes the head
    bool writes_next() const
    {
        return !m_calls.empty() &&
               std::holds_alternative<camphortide::coordination::write_head>(
                   m_calls.front());
    }

    void run_to_write()
    {
        while (pending() && !writes_next())
        {
            step();
        }
    }

    camphortide::coordination::edit_result const& run()
    {
        while (pending() || !m_calls.empty())
        {
            step();
        }
        return m_edit.result();
    }

    /// @return the pending write, for a test that delays it
    camphortide::coordination::write_head waiting_write() const
    {
        return std::get<camphortide::coordination::write_head>(m_calls.front());
    }

private:
    void add(catalogue_edit::actions actions)
    {
        for (auto& action : actions)
        {
            m_calls.push_back(std::move(action));
        }
    }

    void carry_out(camphortide::coordination::read_head const&)
    {
        if (!m_read_works())
        {
            add(m_edit.on_read_failed(m_now));
            return;
        }
        add(m_edit.on_head(m_store.head_version(), m_store.head()));
    }

    void carry_out(camphortide::coordination::read_chunk const& call)
    {
        if (!m_read_works())
        {
            add(m_edit.on_read_failed(m_now));
            return;
        }
        add(m_edit.on_chunk(call.m_chunk, m_store.chunk(call.m_chunk)));
    }

    void carry_out(camphortide::coordination::create_chunk const& call)
    {
        add(m_edit.on_chunk_created(m_store.create(call), m_now));
    }

    void carry_out(camphortide::coordination::write_head const& call)
    {
        auto const reply =
            m_write_arrives() ? m_store.write(call) : write_reply::lost;
        add(m_edit.on_head_written(m_on_write(reply), m_now));
    }

    void carry_out(camphortide::coordination::remove_chunk const& call)
    {
        m_store.remove(call.m_chunk);
    }

    store_stub& m_store;
    camphortide::state::time_point m_now{};
    catalogue_edit m_edit;
    std::deque<camphortide::coordination::edit_action> m_calls;
};
