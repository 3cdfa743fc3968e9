/**
 * Variant keys: one stored copy for device classes whose responses are the same. Rules define where
 * a key names the class, a table that is shared under a lease defines which classes are the same,
 * and a request's key is replaced by its canonical key while the table is known to be valid. Pure:
 * times are nanoseconds of the caller's clock, and there is no I/O.
 */
package beamspread.variants;
