add_library(corianderhoist_warnings INTERFACE)
# GCC 12 reports members of std::variant and of Boost.Accumulators as maybe uninitialized although they are not read.
target_compile_options(corianderhoist_warnings INTERFACE -Wall -Wextra -Werror -Wno-missing-field-initializers
                                                         -Wno-maybe-uninitialized)

# easylogging++ ships as a source file; it is built once, without our warnings.
add_library(easyloggingpp STATIC /usr/include/easylogging++.cc)
target_compile_definitions(easyloggingpp PUBLIC ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE)
target_compile_options(easyloggingpp PRIVATE -w)

# Defines the library corianderhoist_<name> from src/<name>/*.cpp and links the given packages or targets.
function(corianderhoist_package name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/${name}/*.cpp)
  set(target corianderhoist_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    target_link_libraries(${target} PRIVATE corianderhoist_warnings)
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(${target} ${scope} ${CMAKE_SOURCE_DIR}/src)
  target_compile_definitions(${target} ${scope} QT_NO_KEYWORDS CORIANDERHOIST_VERSION="${PROJECT_VERSION}")
  foreach(dependency ${ARGN})
    if(TARGET corianderhoist_${dependency})
      target_link_libraries(${target} ${scope} corianderhoist_${dependency})
    else()
      target_link_libraries(${target} ${scope} ${dependency})
    endif()
  endforeach()
endfunction()

# Defines one executable corianderhoist-<name> per tools/<name>_main.cpp.
function(corianderhoist_tools)
  file(GLOB mains CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/tools/*_main.cpp)
  foreach(main ${mains})
    get_filename_component(stem ${main} NAME_WE)
    string(REPLACE "_main" "" name ${stem})
    add_executable(corianderhoist-${name} ${main})
    target_link_libraries(corianderhoist-${name} PRIVATE corianderhoist_warnings corianderhoist_experiment gflags)
    set_target_properties(corianderhoist-${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  endforeach()
endfunction()
