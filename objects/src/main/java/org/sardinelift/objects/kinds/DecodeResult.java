package org.sardinelift.objects.kinds;

import java.util.List;
import org.sardinelift.core.catalog.ConfigProblem;

/** Outcome of reading the value of an object. */
public sealed interface DecodeResult<T> {

    /**
     * The value is sound.
     *
     * @param item what it holds
     */
    record Valid<T>(T item) implements DecodeResult<T> {}

    /**
     * The value can't be used.
     *
     * @param problems everything that is wrong with it
     */
    record Invalid<T>(List<ConfigProblem> problems) implements DecodeResult<T> {}
}
