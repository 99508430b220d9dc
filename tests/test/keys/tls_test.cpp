#include "certificate_authority.hpp"
#include "secured_deployment.hpp"

#include <doctest/doctest.h>

#include <camphortide/admin/v1/admin.grpc.pb.h>

namespace admin = camphortide::admin::v1;
namespace tests = camphortide::tests;
namespace transport = camphortide::transport;

namespace
{

constexpr std::chrono::seconds max_wait{20};
constexpr std::chrono::milliseconds refusal_wait{1500};

/// All servers use TLS with certificates of one authority.
struct tls_fixture
{
    transport::instance_settings settings() const
    {
        auto result = m_deployment.settings("entry-1");
        result.m_tls_certificate = m_authority.certificate_file();
        result.m_tls_key = m_authority.key_file();
        result.m_tls_authority = m_authority.authority_file();
        result.m_tls_members_authority = m_authority.authority_file();
        return result;
    }

    tests::certificate_authority m_authority{"ours"};
    tests::certificate_authority m_other_authority{"other"};
    tests::secured_deployment m_deployment{m_authority.server(),
                                           m_authority.server()};
};

using credentials = std::shared_ptr<grpc::ChannelCredentials>;

grpc::Status get_status(std::string const& address, credentials const& offered,
                        admin::StatusReply& reply)
{
    auto const stub =
        admin::Admin::NewStub(grpc::CreateChannel(address, offered));
    grpc::ClientContext context;
    return stub->Status(&context, {}, &reply);
}

} // namespace

TEST_CASE_FIXTURE(tls_fixture, "a client that trusts the authority is served")
{
    auto const instance = tests::secured_deployment::start(settings());
    REQUIRE(tests::secured_deployment::wait_ready(*instance, max_wait));
    tests::session caller(instance->caller_address(), m_authority.client());
    REQUIRE(caller.write("set trike out", "desk-1").ok());
    REQUIRE(caller.read("get trike").ok());
    CHECK(caller.reply().result() == "out");
    admin::StatusReply reply;
    REQUIRE(get_status(instance->admin_address(), m_authority.client(), reply)
                .ok());
    CHECK(reply.platform_reachable());
    CHECK(reply.groups(0).primary() == "a");
}

TEST_CASE_FIXTURE(tls_fixture,
                  "a client that does not trust the authority is refused")
{
    auto const instance = tests::secured_deployment::start(settings());
    REQUIRE(tests::secured_deployment::wait_ready(*instance, max_wait));
    for (auto const& offered :
         {m_other_authority.client(), grpc::InsecureChannelCredentials()})
    {
        tests::session caller(instance->caller_address(), offered);
        CHECK(caller.write("set trike out", "desk-1").error_code() ==
              grpc::StatusCode::UNAVAILABLE);
        admin::StatusReply reply;
        CHECK(get_status(instance->admin_address(), offered, reply)
                  .error_code() == grpc::StatusCode::UNAVAILABLE);
    }
}

TEST_CASE_FIXTURE(
    tls_fixture,
    "a platform with a certificate of another authority is not used")
{
    auto wrong_settings = settings();
    wrong_settings.m_tls_authority = m_other_authority.authority_file();
    auto const instance = tests::secured_deployment::start(wrong_settings);
    CHECK_FALSE(tests::secured_deployment::wait_ready(*instance, refusal_wait));
    CHECK_FALSE(instance->ready());
    tests::session caller(instance->caller_address(), m_authority.client());
    CHECK(tests::failure_of(caller.read("get trike")).reason() ==
          camphortide::v1::REASON_NO_CATALOGUE);
}

TEST_CASE_FIXTURE(tls_fixture,
                  "members with certificates of another authority are not used")
{
    auto wrong_settings = settings();
    wrong_settings.m_tls_members_authority = m_other_authority.authority_file();
    auto const instance = tests::secured_deployment::start(wrong_settings);
    CHECK_FALSE(tests::secured_deployment::wait_ready(*instance, refusal_wait));
    CHECK(instance->ready());
    CHECK_FALSE(instance->knows_primary("loans"));
}

TEST_CASE_FIXTURE(
    tls_fixture,
    "invalid certificate files are reported as an invalid argument")
{
    auto wrong_settings = settings();
    for (std::string const& file :
         {std::string("README.md"), std::string("no/such/file"),
          m_other_authority.certificate_file()})
    {
        wrong_settings.m_tls_certificate = file;
        CHECK(transport::instance::start(wrong_settings).status().code() ==
              absl::StatusCode::kInvalidArgument);
    }
}
