package beamspread.cli;

import beamspread.fleet.Unreachable;
import beamspread.fleet.api.Api;
import java.util.List;

/** Instances, and the agents of whose instances nothing is known. */
record Listing(List<Api.InstanceView> instances, List<Unreachable> unreachable) {}
