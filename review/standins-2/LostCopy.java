import java.nio.file.Path;
import java.util.List;

/**
 * A batch job is acknowledged while one disk holds it, and that disk is lost. Exit codes: 0 the rule
 * held, 1 it was broken, 2 the case couldn't run.
 */
public final class LostCopy {
    private static final byte[] NONE = new byte[0];

    private LostCopy() {}

    public static void main(String[] args) {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            exit = run(bed, isTroubled);
            bed.note("exit " + exit);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Bed bed, boolean isTroubled) throws Exception {
        bed.configure(1);
        for (int i = 0; i < 3; i++) {
            bed.replica("i-" + i, "abc".substring(i, i + 1), 60 + i, 8, "v1");
        }
        Bed.Node first = bed.gateway("front-a-1", "a", 21);
        Bed.Node second = bed.gateway("front-a-2", "a", 22);
        Bed.Node w1 = bed.worker("store-a-1", "a", 31);
        Bed.Node w2 = bed.worker("store-b-1", "b", 32);
        Bed.Node w3 = bed.worker("store-c-1", "c", 33);
        bed.startAll();
        bed.awaitReady();

        String calm = bed.newId();
        String calmItem = bed.newId();
        if (bed.jobCall(first, "POST", "/notices/x", calm, bed.jobBody(List.of(calmItem), 20, 1500)).status != 202
                || !awaitResult(bed, second, calm, 10)) {
            bed.note("the calm job was not served");
            return 2;
        }

        String job = bed.newId();
        String item = bed.newId();
        byte[] body = bed.jobBody(List.of(item), 20, 1500);
        if (isTroubled) {
            bed.store.setDown(true);
            Bed.sleep(1500);
            w2.kill();
            w3.kill();
        }
        Bed.Message answer = bed.jobCall(first, "POST", "/notices/x", job, body);
        for (int i = 0; i < 3 && answer.status != 202; i++) {
            // "The same batch job arrives again, at another node."
            answer = bed.jobCall(i % 2 == 0 ? second : first, "POST", "/notices/x", job, body);
        }
        if (isTroubled) {
            w1.kill();
            w1.wipe();
            w2.start();
            w3.start();
        }
        if (answer.status != 202) {
            bed.note("the job was never accepted, so nothing was promised");
            return isTroubled ? 0 : 2;
        }
        bed.note("the job is accepted");
        if (isTroubled) {
            Bed.sleep(1000);
            w1.start();
            Bed.sleep(3000);
            bed.store.setDown(false);
        }

        // recoverS is 12 s, finishS 18 s.
        boolean isListed = awaitResult(bed, second, job, 32);
        bed.note("objects of the job in the store: " + bed.store.names(job));
        bed.note("runs of its item: " + bed.runsOf(item));
        bed.jobCall(first, "GET", "/items/" + job + "?id=" + item, null, NONE);
        bed.note(isListed ? "its result is listed" : "LOST: the accepted job can't be read, and its item has no result");
        return isListed ? 0 : 1;
    }

    private static boolean awaitResult(Bed bed, Bed.Node gateway, String job, int seconds) throws Exception {
        for (int i = 0; i < seconds; i++) {
            Bed.Message answer = bed.jobCall(gateway, "GET", "/lots/" + job + "?after=0", null, NONE);
            if (answer.status == 200 && answer.text().contains("\"completed\"")) {
                return true;
            }
            Bed.sleep(1000);
        }
        return false;
    }
}
