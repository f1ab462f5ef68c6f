# Tests that run the built programs as processes.
foreach(name malformed requests outage settings silence stop pause wind_down
             reload template)
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

# The daemon as above, but it stops at chosen places of its traffic thread.
get_target_property(daemon_sources masticvaned SOURCES)
get_target_property(daemon_folder masticvaned SOURCE_DIR)
get_target_property(daemon_libraries masticvaned LINK_LIBRARIES)
list(TRANSFORM daemon_sources PREPEND ${daemon_folder}/)
add_executable(masticvaned-stops ${daemon_sources}
               ${CMAKE_SOURCE_DIR}/test/standstill/stops.c)
target_link_libraries(masticvaned-stops ${daemon_libraries}
                      -Wl,--wrap=recvmmsg,--wrap=sendmmsg)
add_test(NAME process_standstill
         COMMAND ${CMAKE_SOURCE_DIR}/test/standstill/standstill.py
                 $<TARGET_FILE:masticvaned-stops>)
set_tests_properties(process_standstill PROPERTIES TIMEOUT 120)
