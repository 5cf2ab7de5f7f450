# Computes a digest of the product's sources, by which a log shows what a
# program was built from, and rebuilds all objects if the build folder has been
# carried over from other sources. Compilers are only called for files that are
# newer than their objects, but a folder that is kept may be newer than the
# sources that are laid beside it.
file(GLOB_RECURSE product_sources CONFIGURE_DEPENDS
     ${CMAKE_SOURCE_DIR}/Source/Core/*.h ${CMAKE_SOURCE_DIR}/Source/Core/*.cc
     ${CMAKE_SOURCE_DIR}/platform/*.h ${CMAKE_SOURCE_DIR}/platform/*.cc)
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
                                       ${product_sources})

set(digests_file ${CMAKE_BINARY_DIR}/source-digests.txt)
set(former_digests "")
set(carried_over FALSE)
if(EXISTS ${digests_file})
  file(STRINGS ${digests_file} former_digests)
elseif(EXISTS ${CMAKE_BINARY_DIR}/CMakeCache.txt)
  # Configured by a version that did not keep digests.
  set(carried_over TRUE)
endif()

set(digests "${CMAKE_HOST_SYSTEM_PROCESSOR}\n")
foreach(source IN LISTS product_sources)
  file(SHA256 ${source} digest)
  file(RELATIVE_PATH name ${CMAKE_SOURCE_DIR} ${source})
  string(APPEND digests "${digest} ${name}\n")
  if(EXISTS ${digests_file}
     AND NOT "${digest} ${name}" IN_LIST former_digests
     AND NOT ${source} IS_NEWER_THAN ${digests_file})
    set(carried_over TRUE)
  endif()
endforeach()
if(EXISTS ${digests_file} AND NOT "${CMAKE_HOST_SYSTEM_PROCESSOR}" IN_LIST
                                  former_digests)
  set(carried_over TRUE)
endif()
file(WRITE ${digests_file} "${digests}")

if(carried_over)
  message(STATUS "The build folder belongs to other sources; rebuilding all")
  math(EXPR generation "0${CAMPHORFERRY_BUILD_GENERATION} + 1")
  set(CAMPHORFERRY_BUILD_GENERATION ${generation}
      CACHE INTERNAL "Number of times that the folder was carried over")
endif()
if(CAMPHORFERRY_BUILD_GENERATION)
  # A changed command line makes every object out of date.
  add_compile_definitions(
    CAMPHORFERRY_BUILD_GENERATION=${CAMPHORFERRY_BUILD_GENERATION})
endif()

string(SHA256 source_digest "${digests}")
string(SUBSTRING ${source_digest} 0 12 source_digest)
configure_file(${CMAKE_CURRENT_LIST_DIR}/source_digest.h.in
               ${CMAKE_BINARY_DIR}/generated/source_digest.h @ONLY)
