# Small base scenario for hunts: the switches are slow, so that few calls suffice to load them.
name    = "plain"
length  = "10s"
regions = ["montreal", "saguenay"]

gateways {
  count = 3
}

pools {
  count      = 3
  setup_ms   = 24
  answer_ms  = 9
  release_ms = 7
  repeat_ms  = 4
  reject_ms  = 3
  warm       = "8s"
  error_rate = 0
}

skill "shift-lookup" {
  share    = 0.85
  target   = "2s"
  patience = "9s"
  value    = 1
  hold     = "4s"
}

skill "absence-report" {
  share    = 0.15
  target   = "1s"
  patience = "6s"
  value    = 8
  hold     = "3s"
}

customer "epicerie.example" {
  share = 0.6
}

customer "pharmacie.example" {
  share = 0.4
}

load {
  rate = 60
}
