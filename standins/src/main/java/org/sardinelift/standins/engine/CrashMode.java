package org.sardinelift.standins.engine;

/** How a crash of the engine appears to its clients. */
public enum CrashMode {
    /** The process ends with status 1. */
    EXIT,
    /** All connections are closed, new ones are refused for a time, and all state is lost. */
    DROP
}
