#include "deployment.hpp"

std::vector<deployment> deployments()
{
    return {{"caxias-serrana",
             2,
             {{"checkout", "staff", 8, 0.35, 1000},
              {"reservation", "parents", 12, 0.20, 1500},
              {"catalogue", "teachers", 20, 0.30, 2000},
              {"adapted-toys", "social-office", 15, 0.15, 1500}}},
            {"bajio",
             5,
             {{"reservation", "dealers", 12, 0.20, 1000},
              {"appraisal", "dealers", 25, 0.15, 2000},
              {"listing", "buyers", 15, 0.45, 800},
              {"records", "lenders", 30, 0.20, 3000}}}};
}
