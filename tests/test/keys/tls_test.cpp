#include "certificate_authority.hpp"
#include "keyed_deployment.hpp"

#include <doctest/doctest.h>

#include <camphortide/admin/v1/admin.grpc.pb.h>

namespace admin = camphortide::admin::v1;
namespace tests = camphortide::tests;
namespace transport = camphortide::transport;

namespace
{

constexpr std::chrono::seconds patience{20};
constexpr std::chrono::milliseconds refusal_time{1500};

/// Everything speaks TLS, with certificates of one authority.
struct tls_fixture
{
    transport::instance_settings settings() const
    {
        auto result = m_running.settings("entry-1");
        result.m_tls_certificate = m_authority.certificate_file();
        result.m_tls_key = m_authority.key_file();
        result.m_tls_authority = m_authority.authority_file();
        result.m_tls_members_authority = m_authority.authority_file();
        return result;
    }

    tests::certificate_authority m_authority{"ours"};
    tests::certificate_authority m_other{"other"};
    tests::keyed_deployment m_running{m_authority.server(),
                                      m_authority.server()};
};

using credentials = std::shared_ptr<grpc::ChannelCredentials>;

grpc::Status ask_status(std::string const& address, credentials const& with,
                        admin::StatusReply& reply)
{
    auto const stub = admin::Admin::NewStub(grpc::CreateChannel(address, with));
    grpc::ClientContext context;
    return stub->Status(&context, {}, &reply);
}

} // namespace

TEST_CASE_FIXTURE(tls_fixture, "a client that trusts the authority is served")
{
    auto const one = tests::keyed_deployment::start(settings());
    REQUIRE(tests::keyed_deployment::wait_ready(*one, patience));
    tests::session caller(one->caller_address(), m_authority.client());
    REQUIRE(caller.write("set trike out", "desk-1").ok());
    REQUIRE(caller.read("get trike").ok());
    CHECK(caller.reply().result() == "out");
    admin::StatusReply reply;
    REQUIRE(ask_status(one->admin_address(), m_authority.client(), reply).ok());
    CHECK(reply.platform_reachable());
    CHECK(reply.groups(0).primary() == "a");
}

TEST_CASE_FIXTURE(tls_fixture, "a client that trusts another is refused")
{
    auto const one = tests::keyed_deployment::start(settings());
    REQUIRE(tests::keyed_deployment::wait_ready(*one, patience));
    for (auto const& with :
         {m_other.client(), grpc::InsecureChannelCredentials()})
    {
        tests::session caller(one->caller_address(), with);
        CHECK(caller.write("set trike out", "desk-1").error_code() ==
              grpc::StatusCode::UNAVAILABLE);
        admin::StatusReply reply;
        CHECK(ask_status(one->admin_address(), with, reply).error_code() ==
              grpc::StatusCode::UNAVAILABLE);
    }
}

TEST_CASE_FIXTURE(tls_fixture, "a platform of another authority is not asked")
{
    auto wrong = settings();
    wrong.m_tls_authority = m_other.authority_file();
    auto const one = tests::keyed_deployment::start(wrong);
    CHECK_FALSE(tests::keyed_deployment::wait_ready(*one, refusal_time));
    CHECK_FALSE(one->ready());
    tests::session caller(one->caller_address(), m_authority.client());
    CHECK(tests::failure_of(caller.read("get trike")).reason() ==
          camphortide::v1::REASON_NO_CATALOGUE);
}

TEST_CASE_FIXTURE(tls_fixture, "members of another authority are not used")
{
    auto wrong = settings();
    wrong.m_tls_members_authority = m_other.authority_file();
    auto const one = tests::keyed_deployment::start(wrong);
    CHECK_FALSE(tests::keyed_deployment::wait_ready(*one, refusal_time));
    CHECK(one->ready());
    CHECK_FALSE(one->knows_primary("loans"));
}

TEST_CASE_FIXTURE(tls_fixture, "key files that do not fit are a typed error")
{
    auto wrong = settings();
    for (std::string const& file :
         {std::string("README.md"), std::string("no/such/file"),
          m_other.certificate_file()})
    {
        wrong.m_tls_certificate = file;
        CHECK(transport::instance::start(wrong).status().code() ==
              absl::StatusCode::kInvalidArgument);
    }
}
