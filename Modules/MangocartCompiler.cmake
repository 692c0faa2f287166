# Language level, warnings, sanitizers and the compiler cache for every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)

set(MANGOCART_SANITIZE "" CACHE STRING "Value for -fsanitize=, empty for none")

find_program(MANGOCART_CCACHE ccache)
if(MANGOCART_CCACHE)
  # Precompiled headers need these two to be cached at all.
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CMAKE_COMMAND}" -E env
    CCACHE_SLOPPINESS=pch_defines,time_macros "${MANGOCART_CCACHE}")
endif()

add_library(mangocart_compiler INTERFACE)
target_compile_options(mangocart_compiler INTERFACE
  -Wall -Wextra -Werror=return-type -Wno-missing-field-initializers)
if(MANGOCART_SANITIZE)
  target_compile_options(mangocart_compiler INTERFACE
    "-fsanitize=${MANGOCART_SANITIZE}" -fno-omit-frame-pointer)
  target_link_options(mangocart_compiler INTERFACE
    "-fsanitize=${MANGOCART_SANITIZE}")
endif()
