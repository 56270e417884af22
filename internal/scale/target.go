package scale

// The size that the fleet is designed for (docs/CAPACITY.md).
const (
	TargetBalancers           = 1700
	TargetHosts               = 200
	TargetZones               = 38
	TargetRequestRate         = 1.3e6 // requests a second, all balancers
	TargetAnswerBytes         = 385e3 // mean size of an answer
	TargetPurgeRate           = 22.0  // purges a second
	TargetPurgeTime           = 2.2   // seconds until a purge is done everywhere
	TargetConfigChangesPerDay = 1500  // changes of configuration
	TargetConfigChangeTime    = 4.0   // seconds until a change is in force everywhere
	TargetRestartsPerDay      = 480   // hosts restarted or replaced
	TargetControlMachines     = 19
	TargetControlBytes        = 3000.0 // bytes a second that a balancer may spend on control
	TargetControlCores        = 0.023  // part of a core that a balancer may spend on control
	TargetControlMemory       = 128e6  // bytes that a balancer may spend on control
)

const secondsPerDay = 24 * 60 * 60
