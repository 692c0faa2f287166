# The libraries that the project builds on, all from Debian's packages.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(spdlog REQUIRED)
find_package(fmt REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(Protobuf REQUIRED)
find_path(MANGOCART_TCLAP_INCLUDE tclap/CmdLine.h REQUIRED)
if(NOT MANGOCART_PLATFORM_ONLY)
  find_path(MANGOCART_CATCH_INCLUDE catch2/catch.hpp REQUIRED)
endif()
find_path(MANGOCART_XXHASH_INCLUDE xxhash.h REQUIRED)
find_library(MANGOCART_NGHTTP2_LIBRARY nghttp2 REQUIRED)
find_library(MANGOCART_XXHASH_LIBRARY xxhash REQUIRED)
find_path(MANGOCART_SODIUM_INCLUDE sodium.h REQUIRED)
find_library(MANGOCART_SODIUM_LIBRARY sodium REQUIRED)
find_path(MANGOCART_ZSTD_INCLUDE zstd.h REQUIRED)
find_library(MANGOCART_ZSTD_LIBRARY zstd REQUIRED)

add_library(mangocart_libraries INTERFACE)
target_link_libraries(mangocart_libraries INTERFACE
  mangocart_compiler
  Boost::headers Boost::json
  spdlog::spdlog fmt::fmt
  tomlplusplus::tomlplusplus
  protobuf::libprotobuf
  "${MANGOCART_NGHTTP2_LIBRARY}" "${MANGOCART_XXHASH_LIBRARY}"
  "${MANGOCART_ZSTD_LIBRARY}" "${MANGOCART_SODIUM_LIBRARY}"
  Threads::Threads)
target_compile_definitions(mangocart_libraries INTERFACE
  BOOST_ASIO_NO_DEPRECATED
  MANGOCART_VERSION="${PROJECT_VERSION}")
