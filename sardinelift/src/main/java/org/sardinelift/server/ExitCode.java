package org.sardinelift.server;

/** Exit codes of the server binary. */
enum ExitCode {
    /** Success: drained on request, settings valid, or help or the version printed. */
    OK(0),
    /** The command line is invalid. */
    USAGE(2),
    /** The settings are invalid; nothing was started. */
    BAD_SETTINGS(3),
    /** A port can't be bound or a file can't be read. */
    CANNOT_START(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
