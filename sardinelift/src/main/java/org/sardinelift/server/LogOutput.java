package org.sardinelift.server;

import org.tinylog.configuration.Configuration;

/** Where log lines go. */
enum LogOutput {
    /** Text on standard error, since standard output carries the ready line only. */
    TEXT {
        @Override
        void configureWriter() {
            Configuration.set("writer", "console");
            Configuration.set("writer.stream", "err");
            Configuration.set(
                    "writer.format",
                    "{date: yyyy-MM-dd'T'HH:mm:ss.SSS} {level} {class-name} {message}");
        }
    },
    /** JSON objects on standard output, written by a thread of their own. */
    STRUCTURED {
        @Override
        void configureWriter() {
            Configuration.set("writer", "structured");
        }
    };

    abstract void configureWriter();

    static LogOutput of(Role role) {
        return switch (role) {
            case ENTRY, COMPANION -> TEXT;
            case GATEWAY, WORKER -> STRUCTURED;
        };
    }

    /** Sets the output and the lowest level; has no effect once a line was logged. */
    void configure(String level) {
        if (Configuration.isFrozen()) {
            return;
        }
        configureWriter();
        Configuration.set("level", level);
    }
}
