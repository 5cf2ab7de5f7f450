# Included by the project's CMakeLists.txt (CMAKE_PROJECT_camphorferry_INCLUDE).
# Adds the stand-ins of the review after all targets of the project.
cmake_language(DEFER DIRECTORY "${CMAKE_SOURCE_DIR}" CALL add_executable
               review-withdrawn-key
               "${CMAKE_SOURCE_DIR}/review/stand_ins/withdrawn_key.cc")
cmake_language(DEFER DIRECTORY "${CMAKE_SOURCE_DIR}" CALL target_link_libraries
               review-withdrawn-key PRIVATE camphorferry_soak_run)
