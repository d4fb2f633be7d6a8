// Holds the precompiled network headers; see Targets.cmake.
