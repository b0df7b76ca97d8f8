package org.sardinelift.gateway.job;

import java.util.Optional;
import org.sardinelift.objects.ObjectKey;

/** Identifies an object by which a job is stored. */
sealed interface JobObject {
    /** Kind of all objects of jobs. */
    String KIND = "sardinelift-jobs";

    /**
     * The job.
     *
     * @return its name
     */
    String job();

    /**
     * Name of the object.
     *
     * @return the name
     */
    String name();

    default ObjectKey key() {
        return new ObjectKey(KIND, name());
    }

    /** Its creation makes the job accepted. */
    record Header(String job) implements JobObject {
        @Override
        public String name() {
            return job + ".job";
        }
    }

    /** Part of the beginning of a long document. */
    record Part(String job, int number) implements JobObject {
        @Override
        public String name() {
            return job + ".p" + number;
        }
    }

    /** Results; their positions follow those of the preceding records. */
    record Record(String job, int number) implements JobObject {
        @Override
        public String name() {
            return job + ".r" + number;
        }
    }

    /** Shows that the caller has ended the job. */
    record End(String job) implements JobObject {
        @Override
        public String name() {
            return job + ".end";
        }
    }

    static Optional<JobObject> parse(String name) {
        int dot = name.lastIndexOf('.');
        if (dot < 1) {
            return Optional.empty();
        }
        String job = name.substring(0, dot);
        String suffix = name.substring(dot + 1);
        if (suffix.equals("job")) {
            return Optional.of(new Header(job));
        }
        if (suffix.equals("end")) {
            return Optional.of(new End(job));
        }
        if (!suffix.matches("[pr]\\d{1,6}")) {
            return Optional.empty();
        }
        int number = Integer.parseInt(suffix.substring(1));
        return Optional.of(
                suffix.startsWith("p") ? new Part(job, number) : new Record(job, number));
    }
}
