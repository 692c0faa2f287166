// The entry point of every test program; compiled once because Catch's
// implementation is slow to build.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
