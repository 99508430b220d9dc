// A service whose commits are acknowledged by one replica. The store is away
// for some seconds, the entries of the members lapse, and the holder of the
// duty is killed and starts again. Checks that every acknowledged commit is in
// the log of the member that is promoted, if one is.
#include "writers.hpp"

#include <iostream>

namespace
{

using namespace review;

/// The stand-ins and the instances of a small deployment.
class small_deployment
{
public:
    small_deployment(std::string const& folder, record_file& record)
        : m_record(record),
          m_group("svc-a", "sede-centro", {"a-1", "a-2", "a-3"}, {}, m_store,
                  record, settings()),
          m_service([this](http_message const& request)
                    { return promote(request); })
    {
        m_store.put("config", "main", desired_state({"svc-a"}, "primary", 1));
        for (int i = 0; i < 3; ++i)
        {
            auto const name = "edge-sede-centro-" + std::to_string(i + 1);
            m_instances.push_back(std::make_unique<instance>(
                std::filesystem::path(folder) / name,
                instance_settings{name, m_store.port(), m_service.port()},
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
            m_instances[(holder + 1) % m_instances.size()]->front(), "db-svc-a",
            m_record);
        pause_for(1500);
        if (consumers.acknowledged().empty())
        {
            return cannot_run("no write was acknowledged");
        }
        if (troubled())
        {
            disturb(*m_instances[holder]);
        }
        pause_for(5000);
        consumers.stop();
        return check(consumers.acknowledged());
    }

private:
    static group_settings settings()
    {
        group_settings result;
        result.m_sync_replicas = 1;
        return result;
    }

    int cannot_run(std::string const& why)
    {
        m_record.add("not run: " + why);
        return not_run;
    }

    http_answer promote(http_message const& request)
    {
        auto const body = json::parse(request.m_body);
        auto const id = body.at("id").get<std::string>();
        m_record.add("promotion service: holder " +
                     request.m_headers.at("duty-holder") + " token " +
                     request.m_headers.at("fencing-token") + " member " + id);
        return {m_group.promote(id), "{}"};
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

    void disturb(instance& holder)
    {
        m_group.set_deaf("a-3", true);
        pause_for(300);
        m_record.add("the store is down, the members' entries lapse");
        m_store.set_available(false);
        m_group.lapse_entries();
        pause_for(2200);
        m_record.add("instance " + holder.name() + " is killed");
        holder.kill();
        pause_for(500);
        holder.start();
        pause_for(1700);
        m_record.add("the store is back");
        m_store.set_available(true);
        m_group.restore_entries({{"a-3", 100}, {"a-2", 1900}, {"a-1", 2000}});
        pause_for(1650);
        m_group.set_deaf("a-3", false);
    }

    int check(std::vector<std::string> const& acknowledged)
    {
        auto const dropped = m_group.dropped_commits();
        std::size_t lost = 0;
        for (auto const& each : acknowledged)
        {
            lost += dropped.count(each);
        }
        m_record.add(std::to_string(acknowledged.size()) +
                     " writes acknowledged, " + std::to_string(lost) +
                     " of them not in the log of the member that was promoted");
        if (lost > 0)
        {
            m_record.add("LOST is broken");
        }
        return lost > 0 ? broken : held;
    }

    record_file& m_record;
    object_store m_store;
    database_group m_group;
    http_server m_service;
    std::vector<std::unique_ptr<instance>> m_instances;
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 3)
    {
        std::cerr << "usage: store_return FOLDER RECORD\n";
        return not_run;
    }
    review::record_file record(arguments[2]);
    small_deployment deployment(arguments[1], record);
    int const result = deployment.run();
    deployment.end_processes();
    record.add("result " + std::to_string(result));
    std::_Exit(result); // threads of the stand-ins are still running
}
