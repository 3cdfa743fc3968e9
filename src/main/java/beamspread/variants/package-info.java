/**
 * Variant keys: one stored copy for device classes whose responses are the same. Rules say where a
 * key names the class, a table that is shared under a lease says which classes are the same, and a
 * request's key is replaced by its canonical one for as long as the table is known to hold. Pure:
 * times are nanoseconds of the caller's clock, and nothing is read or sent here.
 */
package beamspread.variants;
