/** Reports as tables, JSON and plots. */
@NullMarked
package org.sardinelift.bench.report;

import org.jspecify.annotations.NullMarked;
