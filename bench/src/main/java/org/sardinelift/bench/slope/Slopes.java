package org.sardinelift.bench.slope;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

/** Runs all measurements of the command {@code slopes}. */
public final class Slopes {
    private static final List<Supplier<List<Slope>>> MEASUREMENTS =
            List.of(
                    RouterSlopes::measure,
                    AdmissionSlopes::measure,
                    LoanSlopes::measure,
                    CatalogSlopes::measure,
                    GateSlopes::measure,
                    BatchSlopes::measure,
                    MessageSlopes::measure,
                    ConnectionSlopes::measure);

    private Slopes() {}

    /**
     * Runs all measurements, which takes about a minute.
     *
     * @return the report
     */
    public static SlopeReport measure() {
        Stream<Slope> slopes = MEASUREMENTS.stream().flatMap(each -> each.get().stream());
        return SlopeReport.of(slopes.toList());
    }
}
