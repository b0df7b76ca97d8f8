/** Filters that each call passes before it is dispatched. */
@NullMarked
package org.sardinelift.entry.filter;

import org.jspecify.annotations.NullMarked;
