#include "command_table.hpp"

#include <memory>
#include <sstream>

#include <doctest/doctest.h>
#include <grpcpp/grpcpp.h>

#include <camphortide/admin/v1/admin.grpc.pb.h>

using namespace camphortide::command_line;
namespace admin = camphortide::admin::v1;

namespace
{

/// An admin service with a fixed status and fixed metrics.
class fixed_admin : public admin::Admin::Service
{
public:
    fixed_admin()
    {
        int port = 0;
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0",
                                 grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        m_address = "127.0.0.1:" + std::to_string(port);
    }

    grpc::Status Status(grpc::ServerContext*, admin::StatusRequest const*,
                        admin::StatusReply* reply) override
    {
        reply->set_name("entry-1");
        reply->set_catalogue_version(7);
        auto& instance = *reply->add_instances();
        instance.set_name("entry-2");
        instance.set_state(admin::INSTANCE_STATE_SUSPECTED);
        instance.set_catalogue_version(6);
        reply->add_instances()->set_name("entry-3");
        auto& last = *reply->add_instances();
        last.set_name("entry-4");
        last.set_state(admin::INSTANCE_STATE_GONE);
        auto& group = *reply->add_groups();
        group.set_name("loans-1");
        group.add_homes("entry-1");
        auto& member = *group.add_members();
        member.set_name("loans-1-a");
        member.set_role(admin::MEMBER_ROLE_FENCED);
        return grpc::Status::OK;
    }

    grpc::Status Metrics(grpc::ServerContext*, admin::MetricsRequest const*,
                         admin::MetricsReply* reply) override
    {
        reply->set_text("# the page\n");
        auto& each = *reply->add_classes();
        each.set_customer("desks");
        each.set_traffic_class("checkouts");
        each.mutable_latency()->add_bounds(1);
        each.mutable_latency()->add_bounds(5);
        each.mutable_latency()->add_counts(3);
        each.mutable_latency()->add_counts(1);
        each.mutable_latency()->add_counts(0);
        each.mutable_latency()->set_count(4);
        auto& outcome = *each.add_outcomes();
        outcome.set_name("executed");
        outcome.set_value(4);
        return grpc::Status::OK;
    }

    std::string m_address;

private:
    std::unique_ptr<grpc::Server> m_server;
};

struct fixture
{
    exit_code run(arguments args)
    {
        args.insert(args.begin(), "status");
        args.insert(args.end(), {"--address", m_admin.m_address});
        std::ostringstream error;
        m_out.str("");
        return run_command(args, {m_out, error});
    }

    bool prints(std::string const& text) const
    {
        return m_out.str().find(text) != std::string::npos;
    }

    fixed_admin m_admin;
    std::ostringstream m_out;
};

} // namespace

TEST_CASE_FIXTURE(fixture, "status shows the instances and the groups")
{
    CHECK(run({}) == exit_code::done);
    CHECK(prints("instance entry-1, version"));
    CHECK(prints("catalogue version 7"));
    CHECK(prints("version 6 in force at entry-2\n"));
    CHECK(prints("no version known at entry-3\n"));
    CHECK(prints("suspected"));
    CHECK(prints("gone"));
    CHECK(prints("primary unknown"));
    CHECK(prints("homes: entry-1"));
    CHECK(prints("fenced"));
    CHECK(prints("unreachable"));
}

TEST_CASE_FIXTURE(fixture,
                  "status prints JSON, metrics and the Prometheus page")
{
    CHECK(run({"--json"}) == exit_code::done);
    CHECK(prints("\"catalogue_version\": \"7\""));
    CHECK(run({"--metrics"}) == exit_code::done);
    CHECK(prints("<= 1 ms"));
    CHECK(prints("<= 5 ms"));
    CHECK(prints("executed=4"));
    CHECK(run({"--text"}) == exit_code::done);
    CHECK(m_out.str() == "# the page\n");
}

TEST_CASE("an unreachable instance is reported with its address")
{
    std::ostringstream out;
    std::ostringstream error;
    CHECK(run_command({"status", "--address", "127.0.0.1:1"}, {out, error}) ==
          exit_code::refused);
    CHECK(error.str().find("no answer from 127.0.0.1:1") != std::string::npos);
}

TEST_CASE("an authority file that cannot be read is a usage error")
{
    std::ostringstream out;
    std::ostringstream error;
    CHECK(run_command({"status", "--authority", "no/such"}, {out, error}) ==
          exit_code::usage);
    CHECK(error.str().find("no/such") != std::string::npos);
}

TEST_CASE_FIXTURE(fixture, "with TLS a server without a certificate is refused")
{
    CHECK(run({"--authority", "README.md"}) == exit_code::refused);
}
