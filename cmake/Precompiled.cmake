# Headers that most sources include and that are slow to parse, compiled once
# for the libraries and programs and once, with the test framework, for tests.
set(TANAGERLOOM_PRECOMPILED
  <utility> <algorithm> <chrono> <functional> <map> <memory> <optional> <set>
  <string> <variant> <vector> <boost/outcome.hpp> <boost/fiber/all.hpp>
  <boost/asio/ip/tcp.hpp> <boost/asio/steady_timer.hpp> <nlohmann/json.hpp>)

# tanagerloom_precompiled(NAME HEADERS ...): an object library whose precompiled
# headers other targets reuse.
function(tanagerloom_precompiled name)
  set(source ${CMAKE_BINARY_DIR}/${name}.cc)
  if(NOT EXISTS ${source})
    file(WRITE ${source} "// Holds the precompiled headers.\n")
  endif()
  add_library(${name} OBJECT ${source})
  target_link_libraries(${name} PRIVATE tanagerloom_options)
  target_precompile_headers(${name} PRIVATE ${ARGN})
endfunction()

tanagerloom_precompiled(tl_precompiled ${TANAGERLOOM_PRECOMPILED})
