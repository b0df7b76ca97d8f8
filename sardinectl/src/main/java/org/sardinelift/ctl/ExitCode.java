package org.sardinelift.ctl;

/** Exit codes of {@code sardinectl}. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The server refused the request; its answer is printed. */
    REFUSED(1, "the request was refused"),
    /** The command line is wrong. */
    USAGE(2, "the command line is wrong"),
    /** A file or object is invalid; nothing was written. */
    INVALID(3, "the checks found errors and nothing was written"),
    /** Another operator changed the object first; the difference is printed. */
    CONFLICT(4, "another operator changed the object first"),
    /** The platform or the entry did not answer. */
    UNREACHABLE(5, "the platform or the entry did not answer"),
    /** The change was written, but not every instance confirmed it in time. */
    UNCONFIRMED(6, "not every instance confirmed the change in time");

    private final int status;
    private final String meaning;

    ExitCode(int status, String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the meaning of the code.
     *
     * @return a short text
     */
    public String meaning() {
        return meaning;
    }
}
