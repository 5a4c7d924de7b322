# damaskladder_library(NAME [DEPS...]) defines the targets of the folder that calls it.
#   TYPE.cpp        is compiled into the library NAME (an interface library if there are none)
#   TYPE_test.cpp   is compiled into the test program NAME_test, which ctest runs
#   TYPE_bench.cpp  is compiled into the benchmark program NAME_bench
# DAMASKLADDER_TESTDATA is the path of the folder's testdata, where tests find golden files.
function(damaskladder_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  set(tests ${sources})
  set(benches ${sources})
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
  list(FILTER benches INCLUDE REGEX "_bench\\.cpp$")
  list(FILTER sources EXCLUDE REGEX "_(test|bench)\\.cpp$")

  if(sources)
    add_library(${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${name} ${scope} ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${name} ${scope} ${ARGN} Threads::Threads)

  if(NOT DAMASKLADDER_TESTS)
    return()
  endif()
  if(tests)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE ${name} GTest::gtest GTest::gtest_main)
    target_compile_definitions(${name}_test PRIVATE
      DAMASKLADDER_TESTDATA="${CMAKE_CURRENT_SOURCE_DIR}/testdata")
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
  endif()
  if(benches)
    add_executable(${name}_bench ${benches})
    target_link_libraries(${name}_bench PRIVATE ${name} benchmark::benchmark benchmark::benchmark_main)
  endif()
endfunction()
