package org.sardinelift.objects.kinds;

import java.util.List;
import org.sardinelift.core.catalog.ConfigProblem;

/** Outcome of decoding the value of a stored object. */
public sealed interface DecodeResult<T> {

    /**
     * The value is valid.
     *
     * @param item the decoded value
     */
    record Valid<T>(T item) implements DecodeResult<T> {}

    /**
     * The value is invalid.
     *
     * @param problems every problem found
     */
    record Invalid<T>(List<ConfigProblem> problems) implements DecodeResult<T> {}
}
