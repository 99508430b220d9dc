// The holder of the duty is cut off from the promotion service for a moment and
// is stopped meanwhile. Checks that the service never sees a lower fencing
// token after a higher one.
#include "writers.hpp"

#include <atomic>
#include <iostream>

namespace
{

using namespace review;

/// The platform's promotion service, which doesn't check fences.
class promotion_service
{
public:
    struct call
    {
        std::string m_service;
        std::string m_member;
        std::string m_holder;
        std::uint64_t m_token = 0;
    };

    promotion_service(std::vector<database_group*> groups, record_file& record)
        : m_groups(std::move(groups)),
          m_record(record),
          m_server([this](http_message const& request)
                   { return promote(request); })
    {
    }

    std::uint16_t port() const { return m_server.port(); }

    std::vector<call> calls()
    {
        std::scoped_lock const lock(m_mutex);
        return m_calls;
    }

    std::size_t calls_for(std::string const& service)
    {
        auto const all = calls();
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(),
            [&](call const& each) { return each.m_service == service; }));
    }

private:
    http_answer promote(http_message const& request)
    {
        auto const body = json::parse(request.m_body);
        call const received{body.at("service").get<std::string>(),
                            body.at("id").get<std::string>(),
                            request.m_headers.at("duty-holder"),
                            std::stoull(request.m_headers.at("fencing-token"))};
        int status = 409;
        for (auto* const group : m_groups)
        {
            status = group->name() == received.m_service
                         ? group->promote(received.m_member)
                         : status;
        }
        std::scoped_lock const lock(m_mutex);
        m_calls.push_back(received);
        m_record.add("promotion service: holder " + received.m_holder +
                     " token " + std::to_string(received.m_token) +
                     " service " + received.m_service + " member " +
                     received.m_member + " -> " + std::to_string(status));
        return {status, "{}"};
    }

    std::mutex m_mutex;
    std::vector<call> m_calls;
    std::vector<database_group*> m_groups;
    record_file& m_record;
    http_server m_server;
};

/// The link from one instance to the promotion service. While it is cut, what
/// open connections send is held up, and new connections get nowhere. As on a
/// real link, bytes that are held up arrive after the cut, also if their sender
/// has closed the connection meanwhile, but not if the sender has reset it or
/// they have waited for longer than its TCP_USER_TIMEOUT.
class promotion_link
{
public:
    promotion_link(std::uint16_t service, record_file& record)
        : m_service(service),
          m_record(record),
          m_listener([this](tcp_socket socket) { forward(socket); })
    {
    }

    std::uint16_t port() const { return m_listener.port(); }

    void cut()
    {
        m_record.add("the holder's link to the promotion service is cut");
        m_cut = true;
    }

    void heal()
    {
        m_record.add("the link is healed");
        m_cut = false;
    }

    bool holds_bytes() const { return m_held; }

private:
    static constexpr milliseconds user_timeout{4000};

    void forward(tcp_socket const& client)
    {
        auto const server = connect_to(m_service);
        bool const lost = m_cut;
        std::thread answers([&] { copy_answers(server, client); });
        copy_requests(client, server, lost);
        server.shut_down();
        answers.join();
    }

    void copy_requests(tcp_socket const& client, tcp_socket const& server,
                       bool lost)
    {
        char bytes[4096];
        while (true)
        {
            auto const count = ::recv(client.handle(), bytes, sizeof(bytes), 0);
            if (count <= 0)
            {
                return;
            }
            std::string_view const received(bytes,
                                            static_cast<std::size_t>(count));
            if (lost || !wait_for_link(client))
            {
                return;
            }
            server.write(received);
        }
    }

    /// @return false if the bytes that wait are lost
    bool wait_for_link(tcp_socket const& client)
    {
        if (!m_cut)
        {
            return true;
        }
        m_record.add("bytes of the holder are held up");
        m_held = true;
        auto const since = clock_type::now();
        while (m_cut)
        {
            pause_for(5);
        }
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(client.handle(), SOL_SOCKET, SO_ERROR, &error, &size);
        bool const arrive =
            error == 0 && clock_type::now() - since < user_timeout;
        m_record.add(arrive ? "the bytes that were held up arrive"
                            : "the bytes that were held up are lost");
        return arrive;
    }

    static void copy_answers(tcp_socket const& server, tcp_socket const& client)
    {
        char bytes[4096];
        while (true)
        {
            auto const count = ::recv(server.handle(), bytes, sizeof(bytes), 0);
            if (count <= 0 ||
                !client.write({bytes, static_cast<std::size_t>(count)}))
            {
                return;
            }
        }
    }

    std::uint16_t m_service;
    record_file& m_record;
    std::atomic<bool> m_cut = false;
    std::atomic<bool> m_held = false;
    listener m_listener;
};

/// @return true if a call had a lower token than one before it
bool token_went_back(std::vector<promotion_service::call> const& calls,
                     record_file& record)
{
    std::uint64_t highest = 0;
    bool result = false;
    for (auto const& each : calls)
    {
        if (each.m_token < highest)
        {
            record.add("ONE is broken: token " + std::to_string(each.m_token) +
                       " of " + each.m_holder + " arrived after token " +
                       std::to_string(highest));
            result = true;
        }
        highest = std::max(highest, each.m_token);
    }
    return result;
}

/// @return true if a write was acknowledged that had been committed at a
///     primary after another one had taken the lead
bool superseded_writes(database_group& group,
                       std::vector<std::string> const& acknowledged,
                       record_file& record)
{
    auto const superseded = group.superseded_commits();
    std::size_t committed_there = 0;
    std::size_t gone = 0;
    for (auto const& each : acknowledged)
    {
        committed_there += superseded.count(each);
        gone += superseded.count(each) != 0 && !group.kept(each) ? 1 : 0;
    }
    record.add(std::to_string(acknowledged.size()) + " writes acknowledged, " +
               std::to_string(committed_there) +
               " of them committed at a superseded primary, " +
               std::to_string(gone) + " of these not in the newest log");
    if (committed_there > 0)
    {
        record.add("ONE is broken: writes committed at the old primary after a "
                   "promotion had taken effect were acknowledged");
    }
    return committed_there > 0;
}

/// The stand-ins and the instances of a small deployment.
class small_deployment
{
public:
    small_deployment(std::string const& folder, record_file& record)
        : m_record(record),
          m_first("svc-a", "sede-centro", {"a-1", "a-2", "a-3"}, {"a-4"},
                  m_store, record),
          m_second("svc-b", "sede-centro", {"b-1", "b-2", "b-3"},
                   {"b-4", "b-5"}, m_store, record),
          m_service({&m_first, &m_second}, record)
    {
        m_store.put("config", "main",
                    desired_state({"svc-a", "svc-b"}, "primary"));
        for (int i = 0; i < 3; ++i)
        {
            auto const name = "edge-sede-centro-" + std::to_string(i + 1);
            m_links.push_back(
                std::make_unique<promotion_link>(m_service.port(), record));
            m_instances.push_back(std::make_unique<instance>(
                std::filesystem::path(folder) / name,
                instance_settings{name, m_store.port(), m_links.back()->port()},
                record));
        }
    }

    void end_processes()
    {
        for (auto const& each : m_instances)
        {
            each->kill();
        }
    }

    int run()
    {
        for (auto const& each : m_instances)
        {
            each->start();
        }
        for (auto const& each : m_instances)
        {
            if (!each->wait_until_ready(15000))
            {
                return cannot_run("instance " + each->name() + " isn't ready");
            }
        }
        pause_for(4000);
        auto const holder = find_holder();
        if (holder == m_instances.size())
        {
            return cannot_run("nobody holds the duty");
        }
        m_record.add("instance " + m_instances[holder]->name() +
                     " holds the duty");
        writers consumers(
            m_instances[(holder + 1) % m_instances.size()]->front(), "db-svc-b",
            m_record);
        pause_for(500);
        return replace_members(holder, consumers);
    }

private:
    int cannot_run(std::string const& why)
    {
        m_record.add("not run: " + why);
        return not_run;
    }

    std::size_t find_holder()
    {
        auto const duty = m_store.get("camphortide", "duty");
        std::size_t index = 0;
        while (index < m_instances.size() &&
               (!duty.is_object() ||
                m_instances[index]->name() != duty.at("holder")))
        {
            ++index;
        }
        return index;
    }

    /// Planned: the new member starts first, then the old primary drains.
    static void replace_primary(database_group& group, std::string const& next)
    {
        group.start(next);
        group.drain(group.primary());
    }

    int replace_members(std::size_t holder, writers& consumers)
    {
        replace_primary(m_first, "a-4");
        if (!wait_until(8000, [&] { return m_service.calls_for("svc-a") > 0; }))
        {
            return cannot_run("no promotion for the first service");
        }
        pause_for(50);
        auto& link = *m_links[holder];
        if (troubled())
        {
            link.cut();
        }
        auto const cut_at = clock_type::now();
        replace_primary(m_second, "b-4");
        auto const sent = [&]
        {
            return troubled() ? link.holds_bytes()
                              : m_service.calls_for("svc-b") > 0;
        };
        if (!wait_until(2500, sent))
        {
            return cannot_run("no promotion for the second service");
        }
        // Planned: the machine of the holder is stopped.
        m_instances[holder]->signal(SIGTERM);
        wait_until(2000, [&] { return m_second.primary() != "b-1"; });
        pause_for(500);
        replace_primary(m_second, "b-5");
        std::this_thread::sleep_until(cut_at + cut_time);
        if (troubled())
        {
            link.heal();
        }
        pause_for(3000);
        consumers.stop();
        bool const went_back = token_went_back(m_service.calls(), m_record);
        bool const superseded =
            superseded_writes(m_second, consumers.acknowledged(), m_record);
        return went_back || superseded ? broken : held;
    }

    static constexpr milliseconds cut_time{3000};

    record_file& m_record;
    object_store m_store;
    database_group m_first;
    database_group m_second;
    promotion_service m_service;
    std::vector<std::unique_ptr<promotion_link>> m_links;
    std::vector<std::unique_ptr<instance>> m_instances;
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 3)
    {
        std::cerr << "usage: late_promotion FOLDER RECORD\n";
        return not_run;
    }
    review::record_file record(arguments[2]);
    small_deployment deployment(arguments[1], record);
    int const result = deployment.run();
    deployment.end_processes();
    record.add("result " + std::to_string(result));
    std::_Exit(result); // threads of the stand-ins are still running
}
