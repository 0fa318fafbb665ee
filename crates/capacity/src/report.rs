//! Samples of quantities, lines fitted to them, and their text.

use std::fmt;

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// What was measured.
    pub quantity: String,
    /// Unit of the value.
    pub unit: &'static str,
    /// Size at which it was measured.
    pub size: usize,
    /// Value.
    pub value: f64,
}

/// Line fitted to the samples of one quantity by least squares.
#[derive(Clone, Debug, PartialEq)]
pub struct Fit {
    /// What was measured.
    pub quantity: String,
    /// Unit of the values.
    pub unit: &'static str,
    /// Growth of the value for each unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (quantity, unit, size) = (&self.quantity, self.unit, self.size);
        write!(f, "{quantity}\t{unit}\t{size}\t{:.3}", self.value)
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (quantity, unit) = (&self.quantity, self.unit);
        let (slope, intercept) = (self.slope, self.intercept);
        write!(f, "{quantity}\t{unit}\t{slope:.6}\t{intercept:.3}")
    }
}

/// All samples of one run; each is printed as it comes.
#[derive(Clone, Debug, Default)]
pub struct Report {
    samples: Vec<Sample>,
}

impl Report {
    /// Report without samples; prints the heading of the samples.
    pub fn printing() -> Self {
        println!("quantity\tunit\tsize\tvalue");
        Self::default()
    }

    /// Adds a sample.
    pub fn add(&mut self, quantity: &str, unit: &'static str, size: usize, value: f64) {
        let sample = Sample {
            quantity: quantity.to_string(),
            unit,
            size,
            value,
        };
        println!("{sample}");
        self.samples.push(sample);
    }

    /// Fitted lines of the quantities with samples of at least two sizes.
    pub fn fits(&self) -> Vec<Fit> {
        let mut quantities: Vec<&str> = Vec::new();
        for sample in &self.samples {
            if !quantities.contains(&sample.quantity.as_str()) {
                quantities.push(&sample.quantity);
            }
        }
        let fits = quantities.into_iter().filter_map(|name| self.fit(name));
        fits.collect()
    }

    fn fit(&self, quantity: &str) -> Option<Fit> {
        let samples = || self.samples.iter().filter(|s| s.quantity == quantity);
        let count = samples().count() as f64;
        let mean_size = samples().map(|s| s.size as f64).sum::<f64>() / count;
        let mean_value = samples().map(|s| s.value).sum::<f64>() / count;
        let spread = |s: &Sample| s.size as f64 - mean_size;
        let variance: f64 = samples().map(|s| spread(s) * spread(s)).sum();
        let covariance: f64 = samples().map(|s| spread(s) * (s.value - mean_value)).sum();
        let slope = covariance / variance;
        (variance > 0.0).then(|| Fit {
            quantity: quantity.to_string(),
            unit: samples().next().map_or("", |sample| sample.unit),
            slope,
            intercept: mean_value - slope * mean_size,
        })
    }
}
