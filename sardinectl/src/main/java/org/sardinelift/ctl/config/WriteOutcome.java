package org.sardinelift.ctl.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.sardinelift.core.catalog.ConfigRef;
import org.sardinelift.ctl.ExitCode;
import org.sardinelift.ctl.Json;

/** Outcome of writing one object. */
public sealed interface WriteOutcome {

    /**
     * Returns the object that was to be written.
     *
     * @return kind and name
     */
    ConfigRef ref();

    /**
     * Returns the exit code of a command whose worst outcome this is.
     *
     * @return the code
     */
    ExitCode code();

    /**
     * Returns the outcome as text.
     *
     * @return one line
     */
    String text();

    /**
     * Returns the outcome as JSON.
     *
     * @return fields kind, name, outcome and the details of the outcome
     */
    default ObjectNode toJson() {
        return Json.newObject().put("kind", ref().kind().label()).put("name", ref().name());
    }

    /**
     * The stored object is the same already; nothing was written.
     *
     * @param ref the object
     * @param revision store revision of the last write
     */
    record Unchanged(ConfigRef ref, long revision) implements WriteOutcome {
        @Override
        public ExitCode code() {
            return ExitCode.OK;
        }

        @Override
        public String text() {
            return "unchanged";
        }

        @Override
        public ObjectNode toJson() {
            return WriteOutcome.super
                    .toJson()
                    .put("outcome", "unchanged")
                    .put("revision", revision);
        }
    }

    /**
     * The object was written.
     *
     * @param ref the object
     * @param version its new version, 0 for a deletion
     * @param revision store revision of the write
     * @param diff fields that changed
     */
    record Written(ConfigRef ref, long version, long revision, ObjectDiff diff)
            implements WriteOutcome {
        @Override
        public ExitCode code() {
            return ExitCode.OK;
        }

        @Override
        public String text() {
            return "written, version " + version + ": " + diff;
        }

        @Override
        public ObjectNode toJson() {
            ObjectNode node =
                    WriteOutcome.super
                            .toJson()
                            .put("outcome", "written")
                            .put("version", version)
                            .put("revision", revision);
            node.set("changes", diff.toJson());
            return node;
        }
    }

    /**
     * Another operator changed the object first; nothing was written.
     *
     * @param ref the object
     * @param expected version that this write expected
     * @param actual version of the stored object, 0 for none
     * @param diffBase value that is compared with the stored object
     * @param diff difference from that value to the stored object
     */
    record Conflict(ConfigRef ref, long expected, long actual, DiffBase diffBase, ObjectDiff diff)
            implements WriteOutcome {

        /** Value that is compared with the stored object. */
        public enum DiffBase {
            /** The expected version; the difference is the other operator's change. */
            EXPECTED_VERSION("theirChanges", "the other operator changed"),
            /** This operator's value, used if the expected version is no longer stored. */
            OWN_VALUE("differsFromYours", "your value against the stored one");

            private final String field;
            private final String text;

            DiffBase(String field, String text) {
                this.field = field;
                this.text = text;
            }
        }

        @Override
        public ExitCode code() {
            return ExitCode.CONFLICT;
        }

        @Override
        public String text() {
            return "not written: expected version %d, the platform has %d; %s %s. %s"
                    .formatted(
                            expected,
                            actual,
                            diffBase.text,
                            diff,
                            "Read the object with get, then apply again.");
        }

        @Override
        public ObjectNode toJson() {
            ObjectNode node =
                    WriteOutcome.super
                            .toJson()
                            .put("outcome", "conflict")
                            .put("expectedVersion", expected)
                            .put("actualVersion", actual);
            node.set(diffBase.field, diff.toJson());
            return node;
        }
    }

    /**
     * The platform did not confirm the write.
     *
     * @param ref the object
     * @param reason why there is no confirmation
     * @param mayHaveBeenWritten whether the write may have taken effect
     */
    record Unreachable(ConfigRef ref, String reason, boolean mayHaveBeenWritten)
            implements WriteOutcome {
        @Override
        public ExitCode code() {
            return ExitCode.UNREACHABLE;
        }

        @Override
        public String text() {
            return (mayHaveBeenWritten ? "unclear whether written: " : "not written: ")
                    + reason
                    + ". It is safe to repeat the command.";
        }

        @Override
        public ObjectNode toJson() {
            return WriteOutcome.super
                    .toJson()
                    .put("outcome", mayHaveBeenWritten ? "unclear" : "not_written")
                    .put("reason", reason);
        }
    }
}
