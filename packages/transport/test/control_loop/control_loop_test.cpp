#include <future>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/transport/instance/control_loop.hpp>

namespace state = camphortide::state;
using camphortide::transport::control_loop;

TEST_CASE(
    "posted tasks run in order on one thread, along with the periodic task")
{
    std::promise<void> periodic;
    std::atomic<bool> periodic_ran{false};
    control_loop loop(state::duration(1),
                      [&]
                      {
                          if (!periodic_ran.exchange(true))
                          {
                              periodic.set_value();
                          }
                      });
    std::vector<int> order;
    std::promise<std::thread::id> first;
    std::promise<std::thread::id> last;
    loop.post(
        [&]
        {
            order.push_back(1);
            first.set_value(std::this_thread::get_id());
        });
    loop.post(
        [&]
        {
            order.push_back(2);
            last.set_value(std::this_thread::get_id());
        });
    CHECK(first.get_future().get() == last.get_future().get());
    periodic.get_future().get();
    loop.stop();
    CHECK(order == std::vector<int>{1, 2});
}
