/** Infrastructure of every process: control thread, metrics and tracing. */
@NullMarked
package org.sardinelift.runtime;

import org.jspecify.annotations.NullMarked;
