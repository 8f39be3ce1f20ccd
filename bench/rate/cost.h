#pragma once

void bench_print_cost (void);
