# Tests that run the built programs as processes.
foreach(name malformed requests outage settings silence stop pause wind_down
             reload)
  add_test(NAME process_${name}
           COMMAND ${CMAKE_SOURCE_DIR}/test/${name}.sh
                   ${CMAKE_RUNTIME_OUTPUT_DIRECTORY}
                   ${CMAKE_SOURCE_DIR}/examples)
  set_tests_properties(process_${name} PROPERTIES TIMEOUT 120)
endforeach()

# Short fault soaks with three seeds; a soak with a planted fault must fail.
foreach(seed 1 2 3)
  add_test(NAME process_soak_${seed}
           COMMAND ${CMAKE_SOURCE_DIR}/test/soak/soak.py
                   ${CMAKE_RUNTIME_OUTPUT_DIRECTORY}/masticvaned
                   --seed ${seed} --seconds 12 --net 8${seed})
  set_tests_properties(process_soak_${seed} PROPERTIES TIMEOUT 120
                                                       RUN_SERIAL ON)
endforeach()
add_test(NAME process_soak_planted
         COMMAND ${CMAKE_SOURCE_DIR}/test/soak/soak.py
                 ${CMAKE_RUNTIME_OUTPUT_DIRECTORY}/masticvaned
                 --seed 1 --seconds 8 --net 84 --plant bytes)
set_tests_properties(process_soak_planted PROPERTIES WILL_FAIL ON TIMEOUT 120
                                                     RUN_SERIAL ON)
add_test(NAME process_explain
         COMMAND ${CMAKE_SOURCE_DIR}/test/soak/explain.sh
                 ${CMAKE_RUNTIME_OUTPUT_DIRECTORY}/masticvaned)
set_tests_properties(process_explain PROPERTIES TIMEOUT 180 RUN_SERIAL ON)
