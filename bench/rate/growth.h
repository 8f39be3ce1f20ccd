#pragma once

void bench_print_growth (void);
