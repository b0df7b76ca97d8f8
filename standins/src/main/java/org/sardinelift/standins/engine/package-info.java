/** Stand-in for a model engine: continuous batching, prefix cache, streaming, orders. */
@NullMarked
package org.sardinelift.standins.engine;

import org.jspecify.annotations.NullMarked;
