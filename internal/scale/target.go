package scale

// Target size and limits of the fleet (docs/CAPACITY.md).
const (
	TargetBalancers           = 1700
	TargetHosts               = 200
	TargetZones               = 38
	TargetRequestRate         = 1.3e6 // requests per second of all balancers
	TargetAnswerBytes         = 385e3 // mean size of a response
	TargetPurgeRate           = 22.0  // purges per second
	TargetPurgeTime           = 2.2   // seconds until a purge has taken effect everywhere
	TargetConfigChangesPerDay = 1500  // configuration changes
	TargetConfigChangeTime    = 4.0   // seconds until a configuration change has taken effect everywhere
	TargetRestartsPerDay      = 480   // hosts restarted or replaced
	TargetControlMachines     = 19
	TargetControlBytes        = 3000.0 // bytes per second that a balancer may spend on control traffic
	TargetControlCores        = 0.023  // processor cores that a balancer may spend on control traffic
	TargetControlMemory       = 128e6  // bytes of memory that a balancer may spend on control traffic
)

const secondsPerDay = 24 * 60 * 60
