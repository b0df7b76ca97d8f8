/** Client of the platform's object API: versioned objects, conditional updates, watches. */
@NullMarked
package org.sardinelift.objects;

import org.jspecify.annotations.NullMarked;
