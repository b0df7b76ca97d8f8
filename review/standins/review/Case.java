package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Runs one case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Case {
    private static final long LIMIT_S = 115;

    private Case() {}

    /** A case; returns whether the rule held. */
    interface Script {
        boolean run(Fleet fleet, Record record, boolean hasTrouble) throws Exception;
    }

    /** Thrown if the case could not run. */
    static final class NotRunnable extends Exception {
        NotRunnable(String message) {
            super(message);
        }
    }

    private static Script script(String name) throws ReflectiveOperationException {
        return (Script)
                Class.forName("review." + name).getDeclaredConstructor().newInstance();
    }

    public static void main(String[] args) throws IOException {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Http.start("limit", () -> exitAfterLimit());
        int code;
        try (Record record = new Record(Path.of(args[1], "record.txt"))) {
            record.write("case " + args[0] + ", TROUBLE=" + (hasTrouble ? 1 : 0));
            try (Fleet fleet = new Fleet(record)) {
                code = script(args[0]).run(fleet, record, hasTrouble) ? 0 : 1;
            } catch (Exception e) {
                record.write("the case could not run: " + e);
                e.printStackTrace();
                code = 2;
            }
            record.write("exit code " + code);
        }
        System.exit(code);
    }

    private static void exitAfterLimit() {
        try {
            TimeUnit.SECONDS.sleep(LIMIT_S);
        } catch (InterruptedException e) {
            return;
        }
        System.exit(2);
    }
}
