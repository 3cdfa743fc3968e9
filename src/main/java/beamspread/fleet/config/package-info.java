/** Reading of TOML files that are checked whole, for the agent's and the operators' side alike. */
package beamspread.fleet.config;
