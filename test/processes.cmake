# Tests that run the real programs as processes.
foreach(name malformed requests outage settings silence stop pause wind_down)
  add_test(NAME process_${name}
           COMMAND ${CMAKE_SOURCE_DIR}/test/${name}.sh
                   ${CMAKE_RUNTIME_OUTPUT_DIRECTORY}
                   ${CMAKE_SOURCE_DIR}/examples)
  set_tests_properties(process_${name} PROPERTIES TIMEOUT 120)
endforeach()
