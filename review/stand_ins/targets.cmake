# Included by the project's CMakeLists.txt (CMAKE_PROJECT_camphorferry_INCLUDE).
# Adds the stand-ins of the review after all targets of the project.
foreach(name withdrawn_key lost_logs)
  cmake_language(EVAL CODE "
    cmake_language(DEFER DIRECTORY [[${CMAKE_SOURCE_DIR}]] CALL add_executable
                   review-${name} [[${CMAKE_SOURCE_DIR}/review/stand_ins/${name}.cc]])
    cmake_language(DEFER DIRECTORY [[${CMAKE_SOURCE_DIR}]] CALL
                   target_link_libraries review-${name} PRIVATE
                   camphorferry_soak_run)")
endforeach()
