package org.sardinelift.server;

import org.tinylog.configuration.Configuration;

/** Destination and format of log lines. */
enum LogOutput {
    /** Text on standard error, since standard output is only for the ready line. */
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
    /** JSON objects on standard output, written by a separate thread. */
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

    /** Configures the output and the minimum level; has no effect after a line was logged. */
    void configure(String level) {
        if (Configuration.isFrozen()) {
            return;
        }
        configureWriter();
        Configuration.set("level", level);
    }
}
