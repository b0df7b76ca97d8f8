package org.sardinelift.objects.kinds;

import java.util.List;
import org.sardinelift.core.catalog.ConfigProblem;

/** Outcome of reading the value of an object. */
public sealed interface KindResult<T> {

    /**
     * The value is sound.
     *
     * @param item what it holds
     */
    record Sound<T>(T item) implements KindResult<T> {}

    /**
     * The value can't be used.
     *
     * @param problems everything that is wrong with it
     */
    record Unsound<T>(List<ConfigProblem> problems) implements KindResult<T> {}
}
